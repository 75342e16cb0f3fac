#include "citronseam/process/message_rates.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Interval for each receiver: a hundred messages a second to all of them.
constexpr milliseconds interval_per_receiver{10};
constexpr milliseconds min_heartbeat_interval{1000};
/// Two heartbeats fit into the silence timeout between zones.
constexpr milliseconds max_heartbeat_interval{2000};
constexpr milliseconds min_report_interval{500};
/// Callers go to engines of other regions only when those of their own are full, so the load there
/// may be known less well.
constexpr milliseconds max_report_interval{4000};

milliseconds interval_for(std::size_t receivers, milliseconds min, milliseconds max) noexcept {
    return std::clamp(interval_per_receiver * static_cast<std::int64_t>(receivers), min, max);
}

} // namespace

milliseconds remote_heartbeat_interval(std::size_t connections) noexcept {
    return interval_for(connections, min_heartbeat_interval, max_heartbeat_interval);
}

milliseconds remote_report_interval(std::size_t receivers) noexcept {
    return interval_for(receivers, min_report_interval, max_report_interval);
}

milliseconds report_lifetime(milliseconds interval) noexcept {
    return 2 * interval;
}

} // namespace citronseam
