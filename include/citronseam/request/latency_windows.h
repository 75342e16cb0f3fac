/// @file
/// Recent latencies and failures in windows of fixed length, so that the time of a rollout can be
/// compared with the time before it.
#ifndef CITRONSEAM_REQUEST_LATENCY_WINDOWS_H
#define CITRONSEAM_REQUEST_LATENCY_WINDOWS_H

#include <array>
#include <cstdint>
#include <deque>

namespace citronseam {

/// Number of buckets of a window: bucket i counts latencies up to 1.25^i ms.
constexpr std::size_t latency_bucket_count = 64;

/// Requests completed within one window.
struct latency_window {
    std::uint64_t start_ms{0}; ///< Unix time in milliseconds
    std::uint64_t failed{0};
    std::array<std::uint32_t, latency_bucket_count> answered{}; ///< by latency bucket
};

/// The windows, oldest first.
struct latency_windows {
    std::uint64_t length_ms{5000};
    std::size_t max_windows{720};
    std::deque<latency_window> windows;
};

/// Totals over several windows.
struct latency_summary {
    std::uint64_t answered{0};
    std::uint64_t failed{0};
    std::array<std::uint64_t, latency_bucket_count> buckets{};
};

/// Records a request that ended at `now_ms`.
void add_latency(latency_windows& state, std::uint64_t now_ms, std::uint32_t duration_ms,
                 bool is_answered);

/// Sums the windows that overlap [from_ms, to_ms).
latency_summary summarize(const latency_windows& state, std::uint64_t from_ms, std::uint64_t to_ms);

/// @param quantile between 0 and 1
/// @return upper bound of the bucket that contains the quantile, in milliseconds; 0 when no request
/// was answered
double quantile_ms(const latency_summary& summary, double quantile);

} // namespace citronseam

#endif
