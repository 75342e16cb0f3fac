/// @file
/// Rate limit on the log lines of each event type, so that logging stays cheap under high load.
#ifndef CITRONSEAM_PROCESS_LOG_RATE_LIMITER_H
#define CITRONSEAM_PROCESS_LOG_RATE_LIMITER_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Lines of one event type that are written per second: several times the peak number of requests
/// per second at a gateway.
constexpr std::uint32_t max_lines_per_second = 200;

/// Lines of one event type in the current one-second window.
struct log_window {
    time_point started_at;
    std::uint32_t written{0};
    std::uint32_t suppressed_lines{0}; ///< lines suppressed by the limit
};

/// Rate limiter state.
struct log_rate_limiter {
    std::map<std::string, log_window, std::less<>> windows; ///< by event name
};

/// Decision on one log line.
struct log_admission {
    bool is_admitted{true};
    std::uint32_t suppressed_lines{0}; ///< lines of the event suppressed in the previous window
};

/// Decides whether a line may be written, and counts it as written or suppressed.
log_admission admit_log_line(log_rate_limiter& limiter, std::string_view event, time_point now);

} // namespace citronseam

#endif
