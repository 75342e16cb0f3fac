#include "citronseam/process/store_reads.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Time between two reads of the table of members by all processes together.
constexpr milliseconds members_interval_per_process{500};
/// Shortest interval of one process that is connected to others.
constexpr milliseconds min_members_interval{10000};
/// Interval of a process that is connected to none.
constexpr milliseconds alone_members_interval{500};

/// Two, so that a reader whose calls fail is replaced within about the time itself.
constexpr int feed_calls_per_due_time = 2;
/// Reads of the server list within the time in which a change must be applied. The rest is for the
/// way to the other processes of the zone, and for one read that fails.
constexpr int server_reads_per_bound = 5;
/// The reader of the zone is replaced within this part of the time.
constexpr double lag_share = 0.4;

} // namespace

milliseconds members_read_interval(const member_knowledge& knowledge) noexcept {
    if (!knowledge.is_connected) {
        return alone_members_interval;
    }
    if (knowledge.is_incomplete) {
        return min_members_interval;
    }
    const auto process_count = static_cast<std::int64_t>(knowledge.known);
    return std::max(min_members_interval, members_interval_per_process * process_count);
}

milliseconds operator_feed_wait(milliseconds due) noexcept {
    return due / feed_calls_per_due_time;
}

milliseconds servers_read_interval(milliseconds bound) noexcept {
    return bound / server_reads_per_bound;
}

milliseconds max_server_list_lag(milliseconds bound) noexcept {
    return milliseconds(static_cast<std::int64_t>(lag_share * static_cast<double>(bound.count())));
}

} // namespace citronseam
