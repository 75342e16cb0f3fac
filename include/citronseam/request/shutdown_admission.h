/// @file
/// Decides which requests a process that is shutting down still accepts.
#ifndef CITRONSEAM_REQUEST_SHUTDOWN_ADMISSION_H
#define CITRONSEAM_REQUEST_SHUTDOWN_ADMISSION_H

#include <optional>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Decides whether a request is accepted. A request that would not finish before the process exits
/// would be cut off; refused at once as not run, it can be sent to another process.
/// @param exits_at         when the process exits; empty when it is not shutting down
/// @param longest_duration maximum duration of the request
/// @return whether the request finishes before the process exits
bool can_finish_before_exit(time_point now, std::optional<time_point> exits_at,
                            milliseconds longest_duration) noexcept;

} // namespace citronseam

#endif
