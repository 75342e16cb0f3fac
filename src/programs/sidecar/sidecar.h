/// @file
/// The sidecar: the process on the users' platform that stands beside one model engine, brings it
/// new weights and tells the gateways of its load.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_SIDECAR_H
#define CITRONSEAM_PROGRAMS_SIDECAR_SIDECAR_H

#include "citronseam/process/settings.h"

namespace citronseam {

/// Runs a sidecar until it is told to leave.
/// @return exit code of the process
int run_sidecar(const settings& options);

} // namespace citronseam

#endif
