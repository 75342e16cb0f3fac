/// @file
/// A validation error in a YAML file, with its location.
#ifndef CITRONSEAM_PROCESS_FILE_PROBLEM_H
#define CITRONSEAM_PROCESS_FILE_PROBLEM_H

#include <string>
#include <vector>

namespace citronseam {

/// A problem found while reading a settings or configuration file.
struct file_problem {
    std::string file;    ///< name of the file as the user gave it
    int line{0};         ///< line number from 1; 0 when unknown
    std::string field;   ///< path of the field, such as `services[2].limits.queue`
    std::string message; ///< what was expected and what was found
};

/// @return `file:line: field: message`
std::string describe(const file_problem& problem);

/// @return all problems, one per line
std::string describe(const std::vector<file_problem>& problems);

} // namespace citronseam

#endif
