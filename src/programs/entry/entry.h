/// @file
/// The entry: the process that accepts requests from callers and routes them to agents.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_ENTRY_H
#define CITRONSEAM_PROGRAMS_ENTRY_ENTRY_H

#include "citronseam/process/settings.h"

namespace citronseam {

/// Runs an entry until it is asked to shut down and all requests in flight have completed.
/// @return exit code of the process
int run_entry(const settings& options);

} // namespace citronseam

#endif
