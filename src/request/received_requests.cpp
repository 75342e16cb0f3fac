#include "citronseam/request/received_requests.h"

#include <algorithm>

namespace citronseam {
namespace {

/// One in so many bytes of the room is for small requests only.
constexpr std::size_t small_request_share = 8;
constexpr std::size_t min_capacity = 1 * kibibyte;

} // namespace

std::optional<std::size_t> choose_refused_request(const std::vector<receiving_request>& requests,
                                                  time_point now) {
    std::optional<std::size_t> stalled;
    std::optional<std::size_t> newest;
    std::uint64_t largest_product = 0;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const receiving_request& request = requests[i];
        const std::uint64_t stalled_ms = elapsed_ms(request.progressed_at, now);
        const std::uint64_t product = stalled_ms * request.bytes;
        if (stalled_ms >= static_cast<std::uint64_t>(min_receive_stall.count()) &&
            (!stalled || product > largest_product)) {
            stalled = i;
            largest_product = product;
        }
        if (!newest || request.number > requests[*newest].number) {
            newest = i;
        }
    }
    return stalled ? stalled : newest;
}

bool has_receive_room(const receive_room& room, std::size_t size, std::size_t added) noexcept {
    const bool is_small = size + added <= small_request_size;
    const std::size_t kept_free = is_small ? 0 : room.limit / small_request_share;
    const std::size_t usable = room.limit - kept_free;
    return room.used <= usable && added <= usable - room.used;
}

std::size_t choose_receive_capacity(std::size_t needed, std::size_t capacity,
                                    std::size_t announced) noexcept {
    if (needed <= capacity) {
        return capacity;
    }
    const std::size_t grown = std::max({needed, 2 * capacity, min_capacity});
    const bool is_last_growth = announced >= needed && grown > announced / 2;
    return is_last_growth ? announced : grown;
}

} // namespace citronseam
