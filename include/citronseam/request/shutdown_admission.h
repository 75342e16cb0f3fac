/// @file
/// Which requests a process that is on its way out still takes.
#ifndef CITRONSEAM_REQUEST_SHUTDOWN_ADMISSION_H
#define CITRONSEAM_REQUEST_SHUTDOWN_ADMISSION_H

#include <optional>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Decides whether a request is taken. One that would not end before the process does would be cut;
/// told at once that it has not run, its caller goes elsewhere.
/// @param leaves_at        end of the process; nothing while it stays
/// @param longest_duration of the request
bool may_take(time_point now, std::optional<time_point> leaves_at,
              milliseconds longest_duration) noexcept;

} // namespace citronseam

#endif
