#include "citronseam/process/row_transfer.h"

#include <algorithm>

namespace citronseam {

const row_source* choose_row_source(const std::vector<row_source>& sources, milliseconds busy_time,
                                    time_point now, random_source& random) {
    const bool has_same_zone =
        std::any_of(sources.begin(), sources.end(),
                    [](const row_source& source) { return source.is_same_zone; });
    std::vector<const row_source*> candidates;
    for (const row_source& source : sources) {
        const bool is_busy = source.busy_at != time_point{} && now - source.busy_at < busy_time;
        if (source.is_same_zone == has_same_zone && !is_busy) {
            candidates.push_back(&source);
        }
    }
    return candidates.empty() ? nullptr : candidates[random_below(random, candidates.size())];
}

bool is_under_way(const row_transfer& transfer, const transfer_limits& limits,
                  time_point now) noexcept {
    return transfer.known_version < transfer.version &&
           (transfer.is_queued || now - transfer.sent_at < limits.max_unconfirmed);
}

bool may_send_rows(std::size_t bytes, std::size_t under_way,
                   const transfer_limits& limits) noexcept {
    return bytes <= limits.large_bytes || under_way < limits.max_large;
}

} // namespace citronseam
