/// @file
/// Time types. Decision logic takes the current time as an argument, so tests control it.
#ifndef CITRONSEAM_PROCESS_CLOCK_H
#define CITRONSEAM_PROCESS_CLOCK_H

#include <chrono>
#include <cstdint>

namespace citronseam {

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;
using seconds = std::chrono::seconds;

/// A point in time on this process's monotonic clock.
using time_point = std::chrono::steady_clock::time_point;

/// @return whole milliseconds from `from` to `to`, zero when `to` is earlier
std::uint32_t elapsed_ms(time_point from, time_point to) noexcept;

/// @return milliseconds since the Unix epoch, for records that other processes read
std::uint64_t wall_clock_ms() noexcept;

} // namespace citronseam

#endif
