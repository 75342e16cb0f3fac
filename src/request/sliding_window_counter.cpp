#include "citronseam/request/sliding_window_counter.h"

namespace citronseam {

std::size_t count_recent(sliding_window_counter& events, time_point now, milliseconds window) {
    while (!events.timestamps.empty() && now - events.timestamps.front() >= window) {
        events.timestamps.pop_front();
    }
    return events.timestamps.size();
}

void add_event(sliding_window_counter& events, time_point now) {
    events.timestamps.push_back(now);
}

} // namespace citronseam
