/// @file
/// Tracks which backend server likely has the beginning of a prompt in its cache.
///
/// The table has two sources: the requests that this entry process sent, known immediately, and the
/// engines' cache events, which arrive late and with gaps. All entries are hints: a wrong one costs
/// one recomputation of the prefix, so the table is bounded and no lookup waits for an update.
#ifndef CITRONSEAM_REQUEST_PREFIX_TABLE_H
#define CITRONSEAM_REQUEST_PREFIX_TABLE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "citronseam/process/clock.h"

namespace citronseam {

/// The server that likely has a prefix cached.
struct prefix_holder {
    std::uint64_t server{0};   ///< number of the connection to its agent
    time_point last_confirmed; ///< last request sent there, or event that reported it
};

/// Two generations of hints. A full recent generation replaces the previous one, so that unused
/// hints expire without a scan.
struct prefix_table {
    std::unordered_map<std::uint64_t, prefix_holder> recent;
    std::unordered_map<std::uint64_t, prefix_holder> previous;
    std::size_t generation_limit{8192};
    milliseconds event_lag{2000}; ///< maximum delay of an eviction report
};

/// Records that a server answered a request with this prefix.
void record_answered(prefix_table& table, std::uint64_t prefix, std::uint64_t server,
                     time_point now);

/// Handles the event that a server stored a prefix. A holder that is already known is kept.
void record_stored(prefix_table& table, std::uint64_t prefix, std::uint64_t server, time_point now);

/// Handles the event that a server evicted a prefix. The event is ignored when the prefix may have
/// been used there after the eviction: the event is late, and the prefix is cached again.
void record_evicted(prefix_table& table, std::uint64_t prefix, std::uint64_t server,
                    time_point now);

/// Removes all hints for a server, for example when its cache was lost or its connection closed.
void forget_server(prefix_table& table, std::uint64_t server);

/// @return the server that likely has the prefix cached
std::optional<std::uint64_t> holder_of(const prefix_table& table, std::uint64_t prefix);

/// Detects gaps in the sequence numbers of cache events.
struct event_sequence {
    std::uint64_t last{0}; ///< sequence number of the last event, 0 for none
};

/// Advances the sequence to the number of the next event.
/// @return number of events missed before it, or nothing when the event is a duplicate
std::optional<std::uint64_t> advance_sequence(event_sequence& sequence, std::uint64_t number);

} // namespace citronseam

#endif
