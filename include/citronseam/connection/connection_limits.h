/// @file
/// Size limits and timeouts of the client connections of an HTTP server.
#ifndef CITRONSEAM_CONNECTION_CONNECTION_LIMITS_H
#define CITRONSEAM_CONNECTION_CONNECTION_LIMITS_H

#include <cstddef>

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

} // namespace citronseam

#endif
