/// @file
/// Latencies and failures of the recent past in windows of fixed length, so that the time of a
/// rollout can be compared with the time before it.
#ifndef CITRONSEAM_REQUEST_LATENCY_WINDOWS_H
#define CITRONSEAM_REQUEST_LATENCY_WINDOWS_H

#include <array>
#include <cstdint>
#include <deque>

namespace citronseam {

/// Buckets of a window: bucket i holds latencies up to 1.25^i ms.
constexpr std::size_t latency_bucket_count = 64;

/// Requests that ended in one window.
struct latency_window {
    std::uint64_t start_ms{0}; ///< Unix time in milliseconds
    std::uint64_t failed{0};
    std::array<std::uint32_t, latency_bucket_count> answered{};
};

/// The windows, oldest first.
struct latency_windows {
    std::uint64_t length_ms{5000};
    std::size_t most{720};
    std::deque<latency_window> windows;
};

/// Sums over several windows.
struct latency_summary {
    std::uint64_t answered{0};
    std::uint64_t failed{0};
    std::array<std::uint64_t, latency_bucket_count> buckets{};
};

/// Adds a request that ended at `now_ms`.
void add_latency(latency_windows& state, std::uint64_t now_ms, std::uint32_t taken_ms,
                 bool is_answered);

/// Sums the windows that lie inside [from_ms, to_ms).
latency_summary summarize(const latency_windows& state, std::uint64_t from_ms, std::uint64_t to_ms);

/// @param share between 0 and 1
/// @return upper edge of the bucket that holds the quantile, in milliseconds; 0 without answers
double quantile_ms(const latency_summary& summary, double share);

} // namespace citronseam

#endif
