/// @file
/// Decides which requests a process that is shutting down still accepts.
#ifndef CITRONSEAM_REQUEST_SHUTDOWN_ADMISSION_H
#define CITRONSEAM_REQUEST_SHUTDOWN_ADMISSION_H

#include <optional>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Times of a planned shutdown, in this order.
struct shutdown_plan {
    time_point estimates_until; ///< until then, an estimate may show that a request ends in time
    time_point open_until;      ///< requests that are still open then are ended
    time_point exits_at;        ///< the process exits at the latest
};

/// What is known of the duration of a request, from now on.
struct request_duration {
    milliseconds longest{0};  ///< it ends within this for certain: its deadline
    milliseconds expected{0}; ///< an estimate
    bool is_retryable{false}; ///< whether it may run more than once
};

/// @param grace_period time after which the process is killed
shutdown_plan plan_shutdown(time_point started_at, milliseconds grace_period) noexcept;

/// Decides whether a request is accepted, or sent to one more backend server. One that would not
/// finish before the process exits would be cut off; refused at once as not run, it can be sent to
/// another process.
///
/// An estimate suffices for a request that may be repeated and that comes early in the shutdown,
/// when most requests end in time. Any other must have its deadline before the exit.
/// @param plan empty when the process is not shutting down
/// @return whether the request finishes before the process exits
bool can_finish_before_exit(time_point now, const std::optional<shutdown_plan>& plan,
                            const request_duration& duration) noexcept;

} // namespace citronseam

#endif
