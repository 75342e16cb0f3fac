/// @file
/// Size limits and timeouts of the client connections of an HTTP server.
#ifndef CITRONSEAM_CONNECTION_CONNECTION_LIMITS_H
#define CITRONSEAM_CONNECTION_CONNECTION_LIMITS_H

#include <cstddef>
#include <optional>
#include <vector>

#include "citronseam/connection/request_guard.h"
#include "citronseam/process/clock.h"
#include "citronseam/process/sizes.h"

namespace citronseam {

/// Limits that an HTTP server enforces on each client connection; a time of 0 is unlimited.
struct connection_limits {
    std::size_t head{max_head_size}; ///< bytes; a longer header section is answered with 431
    std::size_t body{8 * mebibyte};  ///< bytes; a longer body is answered with 413
    milliseconds head_timeout{0};    ///< first byte of a request to the end of its header section
    milliseconds idle_timeout{0};    ///< between requests, or between two reads of a body
    /// Bytes of a body that must arrive in each span of body_progress_span until it is complete.
    std::size_t min_body_progress{16 * kibibyte};
    /// Longer than the 6 s in which clients send a whole body, with time for delays of this
    /// process.
    milliseconds body_progress_span{10000};
};

/// What was received of a body since the current span of its minimum progress began.
struct body_progress {
    time_point since;
    std::size_t bytes{0};
};

/// Checks the minimum progress of a body, and begins the next span when it was made.
/// @return whether the body has made too little progress
bool is_body_too_slow(body_progress& progress, time_point now,
                      const connection_limits& limits) noexcept;

/// State of a connection.
enum class connection_phase : std::uint8_t {
    idle,      ///< no request has started
    head,      ///< receiving a header section
    body,      ///< receiving a body
    responding ///< a response is being produced
};

/// What to do with a connection whose client may have exceeded a timeout.
enum class timeout_action : std::uint8_t {
    keep,
    refuse, ///< answer the unfinished request with 408
    close   ///< close the idle connection without a response
};

/// @param since time since the phase began or, in a body, since the last read
/// @return the action that the limits require; `keep` while no timeout is exceeded
timeout_action choose_timeout_action(connection_phase phase, milliseconds since,
                                     const connection_limits& limits) noexcept;

/// How many connections of clients a process holds, by the number of files that it may open.
/// Without a file left it accepts no client, and tries again and again.
struct connection_room {
    std::size_t scarce{0}; ///< from here on, refusals close their connections
    std::size_t most{0};   ///< idle connections beyond this are closed
    /// From this descriptor on, connections that are idle or stalled are closed. The operating
    /// system assigns the lowest free one, so as many are in use by the whole process.
    int scarce_descriptor{0};
    int last_descriptor{0}; ///< from here on, no connections are accepted
};

/// @param descriptor_limit number of files that the process may open
connection_room find_connection_room(std::size_t descriptor_limit) noexcept;

/// @param descriptor that a new connection would get; another one is needed for its answers
/// @return whether enough descriptors stay free for backend servers, the store and other processes
bool has_descriptor_room(int descriptor, const connection_room& room) noexcept;

/// @return the room of a server that must give up an eighth of its connections, since the process
///         has few descriptors left
connection_room reduce_room(const connection_room& room, std::size_t open) noexcept;

/// @param idle_since when each idle connection became idle
/// @param open       number of open connections, idle or not
/// @return the time that those to close became idle at, or earlier; none when there is room
std::optional<time_point> choose_idle_cutoff(std::vector<time_point> idle_since, std::size_t open,
                                             const connection_room& room);

/// A request that has received nothing for this long may be refused for its connection.
constexpr milliseconds min_connection_stall{1000};

/// @param stalled_since when each request that is being received made its last progress
/// @param idle          number of idle connections, which are closed first
/// @param open          number of open connections
/// @return the time of the last progress of those to refuse, or earlier; none when there is room
std::optional<time_point> choose_stalled_cutoff(std::vector<time_point> stalled_since,
                                                std::size_t idle, std::size_t open,
                                                const connection_room& room, time_point now);

} // namespace citronseam

#endif
