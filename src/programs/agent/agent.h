/// @file
/// The agent: the process beside one backend server, and the only way to it.
#ifndef CITRONSEAM_PROGRAMS_AGENT_AGENT_H
#define CITRONSEAM_PROGRAMS_AGENT_AGENT_H

#include "citronseam/process/settings.h"

namespace citronseam {

/// Runs an agent until it is told to leave and everything in flight has ended.
/// @return exit code of the process
int run_agent(const settings& options);

} // namespace citronseam

#endif
