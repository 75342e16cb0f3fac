/// @file
/// Names of programs and processes that the harness starts.
#ifndef CITRONSEAM_TESTS_SUPPORT_PROGRAM_H
#define CITRONSEAM_TESTS_SUPPORT_PROGRAM_H

#include <string>

namespace citronseam::harness {

/// @return path of a program of this build
inline std::string program(const std::string& name) {
    return std::string(CITRONSEAM_BIN_DIR) + "/" + name;
}

/// @return name of an entry's process
inline std::string entry_name(std::size_t index) {
    return "entry-" + std::to_string(index);
}

} // namespace citronseam::harness

#endif
