/// @file
/// Outcome of a request attempt: whether it may have run, and why it was refused.
#ifndef CITRONSEAM_REQUEST_VERDICT_H
#define CITRONSEAM_REQUEST_VERDICT_H

#include <cstdint>
#include <string>
#include <string_view>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Whether a backend server ran a request, as far as is known.
enum class run_verdict : std::uint8_t {
    not_run,     ///< certain: no backend server began to run it
    ran,         ///< certain: it ran, and its response is complete
    may_have_run ///< a backend server may have begun to run it
};
/// @return the name of a verdict as written in headers and JSON
std::string_view name(run_verdict verdict) noexcept;

/// Why a request was not answered by its backend server.
enum class refusal : std::uint8_t {
    none,
    limit,                 ///< no backend server can take more requests now
    availability_zone_out, ///< the zone was taken out of service
    leaving,               ///< the process is shutting down
    not_ready,             ///< no configuration or no model version yet
    stale_evidence,        ///< the configuration was not confirmed as the newest for too long
    deadline,              ///< the caller's deadline passed
    unknown_service,       ///< no such service in the configuration
    store_unavailable,     ///< the key of a non-idempotent request could not be claimed
    key_in_progress,       ///< another request with this key was started and has no result yet
    key_mismatch,          ///< the key was used for a different request
    backend_unreachable,   ///< no connection to the backend server
    backend_lost,          ///< the connection was lost while the request ran
    cancelled,             ///< the caller disconnected
    quarantined,           ///< the request crashed backend servers
    version_changed,       ///< the model version changed before the request began
    key_settled            ///< an operator settled the key; there is no response to replay
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
    milliseconds retry_after{0}; ///< when to retry; 0 when retrying does not help
};

/// Decides whether the request may be sent to another backend server.
/// @param outcome             result of the last attempt
/// @param is_idempotent       whether the request may be repeated
/// @param is_response_started whether part of a response was already sent to the caller
bool may_retry(const attempt_outcome& outcome, bool is_idempotent,
               bool is_response_started) noexcept;

/// Combines the verdict on an earlier attempt with that on a later one. A later `not_run` does not
/// override the earlier verdict: a request that may have run stays so.
run_verdict combine_verdicts(run_verdict earlier, run_verdict later) noexcept;

} // namespace citronseam

#endif
