// Any bytes give either a configuration or a list of problems.
#include <string>

#include "citronseam/process/configuration.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string content(reinterpret_cast<const char*>(data), size);
    const auto read = citronseam::parse_configuration(content, "fuzz");
    if (!read.is_valid()) {
        citronseam::describe(read.problems);
    }
    return 0;
}
