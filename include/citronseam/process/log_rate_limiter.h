/// @file
/// Bounds the lines of each kind of event, so that a heavy day does not spend its time on logs.
#ifndef CITRONSEAM_PROCESS_LOG_RATE_LIMITER_H
#define CITRONSEAM_PROCESS_LOG_RATE_LIMITER_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Lines of one kind of event that are written in a second; several times the requests that a
/// gateway takes in a second at the peak.
constexpr std::uint32_t most_lines_per_second = 200;

/// What was written in the present second.
struct log_window {
    time_point began_at;
    std::uint32_t written{0};
    std::uint32_t left_out{0};
};

/// Windows by event.
struct log_limit {
    std::map<std::string, log_window, std::less<>> windows;
};

/// Result of asking for a line.
struct log_leave {
    bool is_granted{true};
    std::uint32_t left_out{0}; ///< lines of the event that were left out before this one
};

/// Asks whether a line may be written.
log_leave take_line(log_limit& limit, std::string_view event, time_point now);

} // namespace citronseam

#endif
