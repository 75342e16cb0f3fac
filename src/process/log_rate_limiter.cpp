#include "citronseam/process/log_rate_limiter.h"

#include <utility>

namespace citronseam {

log_leave take_line(log_limit& limit, std::string_view event, time_point now) {
    auto found = limit.windows.find(event);
    if (found == limit.windows.end()) {
        found = limit.windows.emplace(std::string(event), log_window{now, 0, 0}).first;
    }
    log_window& window = found->second;
    log_leave decision;
    if (now - window.started_at >= seconds(1)) {
        decision.left_out = std::exchange(window.left_out, 0);
        window.started_at = now;
        window.written = 0;
    }
    decision.is_granted = window.written < max_lines_per_second;
    ++(decision.is_granted ? window.written : window.left_out);
    return decision;
}

} // namespace citronseam
