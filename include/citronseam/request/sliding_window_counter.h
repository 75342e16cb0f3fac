/// @file
/// Counts events within a sliding window.
#ifndef CITRONSEAM_REQUEST_SLIDING_WINDOW_COUNTER_H
#define CITRONSEAM_REQUEST_SLIDING_WINDOW_COUNTER_H

#include <cstdint>
#include <deque>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Timestamps of recent events. The count is exact, so a limit holds over every span of the
/// window's length, which fixed-window counters cannot guarantee.
struct sliding_window_counter {
    std::deque<time_point> timestamps;
};

/// @return number of events within `window` before `now`; older ones are removed
std::size_t count_recent(sliding_window_counter& events, time_point now, milliseconds window);

/// Adds an event at `now`.
void add_event(sliding_window_counter& events, time_point now);

} // namespace citronseam

#endif
