/// @file
/// Counts events within a window that slides.
#ifndef CITRONSEAM_REQUEST_SLIDING_WINDOW_COUNTER_H
#define CITRONSEAM_REQUEST_SLIDING_WINDOW_COUNTER_H

#include <cstdint>
#include <deque>

#include "citronseam/process/clock.h"

namespace citronseam {

/// The moments of recent events. Exact: a bound over any span of the window's length holds, which
/// counters that start anew at fixed times cannot give.
struct sliding_count {
    std::deque<time_point> moments;
};

/// @return events within `window` before `now`; older ones are forgotten
std::size_t count_recent(sliding_count& events, time_point now, milliseconds window);

/// Adds an event at `now`.
void add_event(sliding_count& events, time_point now);

} // namespace citronseam

#endif
