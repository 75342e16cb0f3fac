/// @file
/// The sidecar: the process on the users' platform that runs next to one model engine, loads new
/// weights into it and reports its load to the gateways.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_SIDECAR_H
#define CITRONSEAM_PROGRAMS_SIDECAR_SIDECAR_H

#include "citronseam/process/settings.h"

namespace citronseam {

/// Runs a sidecar until it is told to stop.
/// @return exit code of the process
int run_sidecar(const settings& options);

} // namespace citronseam

#endif
