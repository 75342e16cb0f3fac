#include "citronseam/request/latency_windows.h"

#include <algorithm>
#include <cmath>

namespace citronseam {
namespace {

constexpr double bucket_growth = 1.25;

std::size_t bucket_of(std::uint32_t duration_ms) {
    if (duration_ms <= 1) {
        return 0;
    }
    const double index = std::ceil(std::log(duration_ms) / std::log(bucket_growth));
    return std::min(static_cast<std::size_t>(index), latency_bucket_count - 1);
}

latency_window& window_at(latency_windows& state, std::uint64_t now_ms) {
    const std::uint64_t start = now_ms - now_ms % state.length_ms;
    // When the clock was set back, the latest window is used.
    if (state.windows.empty() || state.windows.back().start_ms < start) {
        state.windows.push_back({start, 0, {}});
    }
    if (state.windows.size() > state.max_windows) {
        state.windows.pop_front();
    }
    return state.windows.back();
}

} // namespace

void add_latency(latency_windows& state, std::uint64_t now_ms, std::uint32_t duration_ms,
                 bool is_answered) {
    latency_window& window = window_at(state, now_ms);
    if (is_answered) {
        ++window.answered[bucket_of(duration_ms)];
    } else {
        ++window.failed;
    }
}

latency_summary summarize(const latency_windows& state, std::uint64_t from_ms,
                          std::uint64_t to_ms) {
    latency_summary summary;
    for (const auto& window : state.windows) {
        if (window.start_ms + state.length_ms <= from_ms || window.start_ms >= to_ms) {
            continue;
        }
        summary.failed += window.failed;
        for (std::size_t i = 0; i < latency_bucket_count; ++i) {
            summary.buckets[i] += window.answered[i];
            summary.answered += window.answered[i];
        }
    }
    return summary;
}

double quantile_ms(const latency_summary& summary, double quantile) {
    const double target_rank = quantile * static_cast<double>(summary.answered);
    double cumulative = 0;
    for (std::size_t i = 0; i < latency_bucket_count; ++i) {
        cumulative += static_cast<double>(summary.buckets[i]);
        if (summary.answered > 0 && cumulative >= target_rank) {
            return std::pow(bucket_growth, static_cast<double>(i));
        }
    }
    return 0;
}

} // namespace citronseam
