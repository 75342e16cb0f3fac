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
};

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
};

/// @param descriptor_limit number of files that the process may open
connection_room find_connection_room(std::size_t descriptor_limit) noexcept;

/// @param idle_since when each idle connection became idle
/// @param open       number of open connections, idle or not
/// @return the time that those to close became idle at, or earlier; none when there is room
std::optional<time_point> choose_idle_cutoff(std::vector<time_point> idle_since, std::size_t open,
                                             const connection_room& room);

} // namespace citronseam

#endif
