/// @file
/// Decides which of the requests that a process is receiving must give up their memory.
#ifndef CITRONSEAM_REQUEST_RECEIVED_REQUESTS_H
#define CITRONSEAM_REQUEST_RECEIVED_REQUESTS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/sizes.h"

namespace citronseam {

/// Memory of a connection and of the parser's state that is counted for each request, in bytes.
constexpr std::size_t request_overhead = 4 * kibibyte;
/// A request that has received nothing for this long counts as stalled. Clients on the slowest
/// links send a part of a body every few milliseconds; a lost segment is sent again within 300 ms.
constexpr milliseconds min_receive_stall{500};

/// A request of which a part was received.
struct receiving_request {
    std::uint64_t number{0}; ///< in the order in which the requests began
    std::size_t bytes{0};    ///< memory that it takes
    time_point progressed_at;
};

/// Chooses the request to refuse when another one finds no room. Stalled requests go first, the one
/// with the largest product of memory and time without progress before the others. If none is
/// stalled, the one that began last goes, so that those before it can be completed.
/// @return its index; none if there is no request
std::optional<std::size_t> choose_refused_request(const std::vector<receiving_request>& requests,
                                                  time_point now);

/// Bytes that the requests of a process may take, and those that they take.
struct receive_room {
    std::size_t limit{0};
    std::size_t used{0};
};

/// Requests up to this size may use all of the room, larger ones leave an eighth of it free, so
/// that ordinary requests are received beside long bodies.
constexpr std::size_t small_request_size = 64 * kibibyte;

/// @param size  memory that the request takes now
/// @param added further memory that it needs
/// @return whether the request may take the further memory
bool has_receive_room(const receive_room& room, std::size_t size, std::size_t added) noexcept;

/// @param needed    bytes that the buffer must hold
/// @param capacity  bytes that it holds without growing
/// @param announced final size in bytes; 0 if it is not known
/// @return the capacity to which a buffer grows: at least doubled, so that the copies of a growing
///         body cost little, but no more than the announced size. Beyond half of that it grows once
///         only, so that the old and the new buffer together take at most one and a half times the
///         announced size.
std::size_t choose_receive_capacity(std::size_t needed, std::size_t capacity,
                                    std::size_t announced) noexcept;

} // namespace citronseam

#endif
