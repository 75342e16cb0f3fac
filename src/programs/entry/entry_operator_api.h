/// @file
/// HTTP interface of an entry for operators.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_ENTRY_OPERATOR_API_H
#define CITRONSEAM_PROGRAMS_ENTRY_ENTRY_OPERATOR_API_H

#include <atomic>
#include <cstdint>
#include <string>

#include "citronseam/connection/http_server.h"
#include "programs/daemon/control_state_sync.h"
#include "programs/daemon/crash_registry.h"
#include "programs/entry/backend_server_directory.h"
#include "programs/entry/entry_mesh.h"
#include "programs/entry/latency_recorder.h"
#include "programs/entry/trace_buffer.h"

namespace citronseam {

/// Components of an entry that the operator interface reads and controls.
struct operator_api_context {
    const std::string& instance;
    const std::string& availability_zone;
    const std::string& http_address;
    control_state_sync& state_sync;
    const backend_server_directory& directory;
    const entry_mesh& mesh;
    crash_registry& crashes;
    const trace_buffer& traces;
    const latency_recorder& latencies;
    const std::atomic<bool>& is_leaving;
    const std::atomic<std::uint32_t>& running;
};

/// Handles an operator's request:
///  - `GET /v1/status`: this entry, the others and the agents, with the generation in force on each
///  - `POST /v1/configuration`: applies a configuration that was already accepted
///  - `POST /v1/notices`: takes an availability zone out of service or puts it back, at once
///  - `GET /v1/quarantine`, `DELETE /v1/quarantine/FINGERPRINT`
///  - `GET /v1/latencies/SERVICE?from_ms=N&to_ms=N`: requests that ended in that time
///  - `GET /v1/traces/REQUEST-ID`: the attempts and the result of a recent request
void handle_operator_request(const operator_api_context& entry, const server_request& request,
                             http_responder& responder);

} // namespace citronseam

#endif
