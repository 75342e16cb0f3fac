/// @file
/// Reads the settings file of a daemon.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_SETTINGS_FILE_H
#define CITRONSEAM_PROGRAMS_DAEMON_SETTINGS_FILE_H

#include <string>

#include "citronseam/process/settings.h"

namespace citronseam {

/// Reads and checks a settings file. A file that cannot be opened is reported as a problem.
file_result<settings> read_settings_file(const std::string& path);

} // namespace citronseam

#endif
