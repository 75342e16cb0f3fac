/// @file
/// Which backend server likely holds the beginning of a prompt in its cache.
///
/// Two sources feed the table: what this entry sent where, which is prompt, and the engines' cache
/// events, which come late and with gaps. Everything in it is a hint: a wrong one costs one
/// computation of the prefix, so the table is bounded and nothing in it is waited for.
#ifndef CITRONSEAM_REQUEST_PREFIX_TABLE_H
#define CITRONSEAM_REQUEST_PREFIX_TABLE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "citronseam/process/clock.h"

namespace citronseam {

/// The holder of one prefix.
struct prefix_holder {
    std::uint64_t server{0}; ///< number of the connection to its agent
    time_point noted;        ///< when a request last went there or an event named it
};

/// Two generations of hints. When the recent one is full it becomes the previous one, so that
/// hints that are not used again leave without a scan.
struct prefix_table {
    std::unordered_map<std::uint64_t, prefix_holder> recent;
    std::unordered_map<std::uint64_t, prefix_holder> previous;
    std::size_t generation_limit{8192};
    milliseconds event_lag{2000}; ///< an eviction may be reported this long after it happened
};

/// Notes that a request with this prefix was answered by a server.
void note_answered(prefix_table& table, std::uint64_t prefix, std::uint64_t server, time_point now);

/// Takes the event that a server stored a prefix. A holder known first hand stays.
void note_stored(prefix_table& table, std::uint64_t prefix, std::uint64_t server, time_point now);

/// Takes the event that a server evicted a prefix. It is ignored when the prefix was used there
/// after the eviction may have happened: the event is late, and the prefix is there again.
void note_evicted(prefix_table& table, std::uint64_t prefix, std::uint64_t server, time_point now);

/// Drops all hints to a server, as when its cache was lost or its connection closed.
void forget_server(prefix_table& table, std::uint64_t server);

/// @return the server that likely holds the prefix
std::optional<std::uint64_t> holder_of(const prefix_table& table, std::uint64_t prefix);

/// Finds gaps in the numbers of cache events.
struct event_sequence {
    std::uint64_t last{0}; ///< number of the last event taken, 0 for none
};

/// Takes the number of the next event.
/// @return how many events were missed before it, or nothing when it was seen already
std::optional<std::uint64_t> take_event_number(event_sequence& sequence, std::uint64_t number);

} // namespace citronseam

#endif
