#include "citronseam/process/log_rate_limiter.h"

#include <utility>

namespace citronseam {

log_admission admit_log_line(log_rate_limiter& limiter, std::string_view event, time_point now) {
    auto found = limiter.windows.find(event);
    if (found == limiter.windows.end()) {
        found = limiter.windows.emplace(std::string(event), log_window{now, 0, 0}).first;
    }
    log_window& window = found->second;
    log_admission decision;
    if (now - window.started_at >= seconds(1)) {
        decision.suppressed_lines = std::exchange(window.suppressed_lines, 0);
        window.started_at = now;
        window.written = 0;
    }
    decision.is_admitted = window.written < max_lines_per_second;
    ++(decision.is_admitted ? window.written : window.suppressed_lines);
    return decision;
}

} // namespace citronseam
