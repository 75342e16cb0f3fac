/// @file
/// The gateway: the process on the users' platform that takes requests from callers.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_GATEWAY_H
#define CITRONSEAM_PROGRAMS_GATEWAY_GATEWAY_H

#include "citronseam/process/settings.h"

namespace citronseam {

/// Runs a gateway until it is told to leave and what is in flight has ended.
/// @return exit code of the process
int run_gateway(const settings& options);

} // namespace citronseam

#endif
