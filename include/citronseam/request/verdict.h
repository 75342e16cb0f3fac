/// @file
/// Whether a request may have run, and why it was refused.
#ifndef CITRONSEAM_REQUEST_VERDICT_H
#define CITRONSEAM_REQUEST_VERDICT_H

#include <cstdint>
#include <string>
#include <string_view>

#include "citronseam/process/clock.h"

namespace citronseam {

/// What is known about the effect of a request on its backend server.
enum class run_verdict : std::uint8_t {
    not_run,     ///< proved: no backend server began to run it
    ran,         ///< proved: it ran, and its answer is whole
    may_have_run ///< a backend server may have begun to run it
};
/// @return the name of a verdict as written in headers and JSON
std::string_view name(run_verdict verdict) noexcept;

/// Why a request was not answered by its backend server.
enum class refusal : std::uint8_t {
    none,
    limit,                 ///< no backend server bears more work now
    availability_zone_out, ///< the zone was taken out
    leaving,               ///< the process is on its way out
    not_ready,             ///< no configuration or no model version yet
    stale_evidence,        ///< no proof for too long that the configuration is the newest
    deadline,              ///< the caller's time is over
    unknown_service,       ///< no such service in the configuration
    store_unavailable,     ///< the key of a non-idempotent request could not be claimed
    key_in_progress,       ///< another request with this key was begun and has no result yet
    key_mismatch,          ///< the key was used for a different request
    backend_unreachable,   ///< no connection to the backend server
    backend_lost,          ///< the connection broke while the request ran
    cancelled,             ///< the caller hung up
    quarantined,           ///< the request brought down backend servers
    version_changed,       ///< the model version changed before the request began
    key_settled            ///< operators settled the key; there is no answer to replay
};
/// @return the name of a refusal as written in headers, JSON and metrics
std::string_view name(refusal reason) noexcept;

/// @return the HTTP status that goes with a refusal
int http_status(refusal reason) noexcept;

/// How one attempt at a request ended.
struct attempt_outcome {
    run_verdict verdict{run_verdict::not_run};
    refusal reason{refusal::none};
    std::string message;
    milliseconds retry_after{0}; ///< when to come back, 0 when that does not help
};

/// Decides whether another backend server may get the request.
/// @param outcome           how the last attempt ended
/// @param is_idempotent     whether the request may be repeated
/// @param has_caller_bytes  whether a part of an answer went to the caller already
bool may_retry(const attempt_outcome& outcome, bool is_idempotent, bool has_caller_bytes) noexcept;

/// Combines the verdict of an earlier attempt with that of a later one: what may have run once
/// stays so, whatever a later attempt says.
run_verdict combine(run_verdict earlier, run_verdict later) noexcept;

} // namespace citronseam

#endif
