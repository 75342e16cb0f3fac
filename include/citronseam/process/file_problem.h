/// @file
/// One thing wrong in a YAML file, with its place.
#ifndef CITRONSEAM_PROCESS_FILE_PROBLEM_H
#define CITRONSEAM_PROCESS_FILE_PROBLEM_H

#include <string>
#include <vector>

namespace citronseam {

/// A problem found while reading a settings or configuration file.
struct file_problem {
    std::string file;    ///< name of the file as the user gave it
    int line{0};         ///< line, counted from 1; 0 when there is none
    std::string field;   ///< path of the field, such as `services[2].limits.queue`
    std::string message; ///< what was expected and what was found
};

/// @return `file:line: field: message`
std::string describe(const file_problem& problem);

/// @return all problems, one on a line
std::string describe(const std::vector<file_problem>& problems);

} // namespace citronseam

#endif
