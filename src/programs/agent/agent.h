/// @file
/// The agent: the process in front of one backend server; all requests to the server pass through
/// it.
#ifndef CITRONSEAM_PROGRAMS_AGENT_AGENT_H
#define CITRONSEAM_PROGRAMS_AGENT_AGENT_H

#include "citronseam/process/settings.h"

namespace citronseam {

/// Runs an agent until it is asked to shut down and all requests in flight have completed.
/// @return exit code of the process
int run_agent(const settings& options);

} // namespace citronseam

#endif
