/// @file
/// Bounds the log lines of refusals that callers can cause at any rate: one line a second for each
/// reason, which states how many requests it stands for.
#ifndef CITRONSEAM_PROCESS_REFUSAL_LOG_H
#define CITRONSEAM_PROCESS_REFUSAL_LOG_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Shortest time between two lines of one reason.
constexpr seconds refusal_log_interval{1};

/// Refusals for one reason.
struct refusal_count {
    std::optional<time_point> logged_at; ///< time of the last line; nullopt: there was none
    std::uint64_t unlogged{0};           ///< refused since then
};

/// Refusals of a process.
struct refusal_log {
    std::map<std::string, refusal_count, std::less<>> reasons;
};

/// What a line states.
struct refusal_line {
    std::string reason;
    std::uint64_t requests{0}; ///< refused since the line before

    bool operator==(const refusal_line&) const = default;
};

/// Counts one refusal.
void record_refusal(refusal_log& log, std::string_view reason);

/// @return the lines that are due, which count as written from then on
std::vector<refusal_line> take_due_lines(refusal_log& log, time_point now);

} // namespace citronseam

#endif
