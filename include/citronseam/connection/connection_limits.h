/// @file
/// What a caller may send on a connection, and how long it may take.
#ifndef CITRONSEAM_CONNECTION_CONNECTION_LIMITS_H
#define CITRONSEAM_CONNECTION_CONNECTION_LIMITS_H

#include <cstddef>

#include "citronseam/connection/request_guard.h"
#include "citronseam/process/clock.h"
#include "citronseam/process/sizes.h"

namespace citronseam {

/// Bounds of a server on its callers; a time of 0 is unlimited.
struct connection_limits {
    std::size_t head{largest_head}; ///< bytes; a longer head is answered with 431
    std::size_t body{8 * mebibyte}; ///< bytes; a longer body is answered with 413
    milliseconds head_time{0};      ///< from the first byte of a request to the end of its head
    milliseconds idle_time{0};      ///< without a request, or between two parts of a body
};

/// Where a connection stands.
enum class connection_phase : std::uint8_t {
    idle,     ///< no request has begun
    head,     ///< a head is coming
    body,     ///< a body is coming
    answering ///< a request is being answered
};

/// What becomes of a connection whose caller takes its time.
enum class time_verdict : std::uint8_t {
    keep,
    refuse, ///< the request that has begun is answered with 408
    close   ///< nothing has begun
};

/// @param since time since the phase began, or since the last part of a body
/// @return whether a connection has taken too long
time_verdict judge_time(connection_phase phase, milliseconds since,
                        const connection_limits& limits) noexcept;

} // namespace citronseam

#endif
