/// @file
/// The gateway process, which accepts callers' requests on the users' platform.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_GATEWAY_H
#define CITRONSEAM_PROGRAMS_GATEWAY_GATEWAY_H

#include "citronseam/process/settings.h"

namespace citronseam {

/// Runs a gateway until it is told to stop and its requests in flight have ended.
/// @return exit code of the process
int run_gateway(const settings& options);

} // namespace citronseam

#endif
