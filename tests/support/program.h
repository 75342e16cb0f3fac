/// @file
/// Paths of programs and names of processes that the test harness starts.
#ifndef CITRONSEAM_TESTS_SUPPORT_PROGRAM_H
#define CITRONSEAM_TESTS_SUPPORT_PROGRAM_H

#include <string>

namespace citronseam::harness {

/// @return path of a program in the build directory
inline std::string program_path(const std::string& name) {
    return std::string(CITRONSEAM_BIN_DIR) + "/" + name;
}

/// @return process name of an entry, which is also its instance name
inline std::string entry_process_name(std::size_t index) {
    return "entry-" + std::to_string(index);
}

} // namespace citronseam::harness

#endif
