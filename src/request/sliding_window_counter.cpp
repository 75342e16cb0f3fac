#include "citronseam/request/sliding_window_counter.h"

namespace citronseam {

std::size_t count_recent(sliding_count& events, time_point now, milliseconds window) {
    while (!events.moments.empty() && now - events.moments.front() >= window) {
        events.moments.pop_front();
    }
    return events.moments.size();
}

void add_event(sliding_count& events, time_point now) {
    events.moments.push_back(now);
}

} // namespace citronseam
