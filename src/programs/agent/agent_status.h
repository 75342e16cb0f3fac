/// @file
/// Status of an agent, served at its operator address.
#ifndef CITRONSEAM_PROGRAMS_AGENT_AGENT_STATUS_H
#define CITRONSEAM_PROGRAMS_AGENT_AGENT_STATUS_H

#include <nlohmann/json.hpp>

#include "programs/agent/agent_context.h"
#include "programs/agent/version_reconciler.h"

namespace citronseam {

/// @return the body of `GET /v1/status`
nlohmann::json agent_status_json(const agent_context& context, const version_progress& progress);

} // namespace citronseam

#endif
