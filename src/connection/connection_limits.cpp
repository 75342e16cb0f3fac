#include "citronseam/connection/connection_limits.h"

#include <algorithm>

namespace citronseam {
namespace {

/// The socket that requests are read from, and its duplicate for the answers.
constexpr std::size_t descriptors_per_connection = 2;
/// One in so many of the files is for clients; the others are for backend servers and processes.
constexpr std::size_t descriptors_per_client_descriptor = 2;
/// Room is kept for the connections that arrive until closed ones are gone.
constexpr std::size_t kept_eighths = 7;

} // namespace

timeout_action choose_timeout_action(connection_phase phase, milliseconds since,
                                     const connection_limits& limits) noexcept {
    if (phase == connection_phase::responding) {
        return timeout_action::keep;
    }
    const milliseconds limit =
        phase == connection_phase::head ? limits.head_timeout : limits.idle_timeout;
    if (limit.count() == 0 || since < limit) {
        return timeout_action::keep;
    }
    return phase == connection_phase::idle ? timeout_action::close : timeout_action::refuse;
}

connection_room find_connection_room(std::size_t descriptor_limit) noexcept {
    connection_room room;
    room.most = descriptor_limit / descriptors_per_client_descriptor / descriptors_per_connection;
    room.scarce = room.most / 2;
    return room;
}

std::optional<time_point> choose_idle_cutoff(std::vector<time_point> idle_since, std::size_t open,
                                             const connection_room& room) {
    const std::size_t kept = room.most * kept_eighths / 8;
    if (open <= room.most || idle_since.empty()) {
        return std::nullopt;
    }
    const std::size_t last = std::min(open - kept, idle_since.size()) - 1;
    const auto cutoff = idle_since.begin() + static_cast<std::ptrdiff_t>(last);
    std::nth_element(idle_since.begin(), cutoff, idle_since.end());
    return *cutoff;
}

} // namespace citronseam
