/// @file
/// The entry: the process that takes requests from callers.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_ENTRY_H
#define CITRONSEAM_PROGRAMS_ENTRY_ENTRY_H

#include "citronseam/process/settings.h"

namespace citronseam {

/// Runs an entry until it is told to leave and everything in flight has ended.
/// @return exit code of the process
int run_entry(const settings& options);

} // namespace citronseam

#endif
