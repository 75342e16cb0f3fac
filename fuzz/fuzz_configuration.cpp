// Checks that any input parses to a configuration or to a list of problems.
#include <string>

#include "citronseam/process/configuration.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto parsed = citronseam::parse_configuration(text, "fuzz");
    if (!parsed.is_valid()) {
        citronseam::describe(parsed.problems);
    }
    return 0;
}
