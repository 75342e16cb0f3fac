#include "citronseam/connection/connection_limits.h"

#include <algorithm>
#include <limits>

namespace citronseam {
namespace {

/// The socket that requests are read from, and its duplicate for the answers.
constexpr std::size_t descriptors_per_connection = 2;
/// One in so many of the files is for clients; the others are for backend servers and processes.
constexpr std::size_t descriptors_per_client_descriptor = 2;
/// Room is kept for the connections that arrive until closed ones are gone.
constexpr std::size_t kept_eighths = 7;
/// Shares of the files from which on connections are closed, and no more are accepted.
constexpr std::size_t scarce_descriptor_eighths = 5;
constexpr std::size_t last_descriptor_eighths = 6;

std::size_t excess_connections(std::size_t open, const connection_room& room) noexcept {
    const std::size_t kept = room.most * kept_eighths / 8;
    return open <= room.most ? 0 : open - kept;
}

int to_descriptor(std::size_t count) noexcept {
    constexpr std::size_t most = std::numeric_limits<int>::max();
    return static_cast<int>(std::min(count, most));
}

} // namespace

bool is_body_too_slow(body_progress& progress, time_point now,
                      const connection_limits& limits) noexcept {
    if (progress.bytes >= limits.min_body_progress) {
        progress = {now, 0};
    }
    return limits.body_progress_span.count() > 0 &&
           now - progress.since >= limits.body_progress_span;
}

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
    room.scarce_descriptor = to_descriptor(descriptor_limit / 8 * scarce_descriptor_eighths);
    room.last_descriptor = to_descriptor(descriptor_limit / 8 * last_descriptor_eighths);
    return room;
}

bool has_descriptor_room(int descriptor, const connection_room& room) noexcept {
    return descriptor + 1 < room.last_descriptor;
}

connection_room reduce_room(const connection_room& room, std::size_t open) noexcept {
    connection_room reduced = room;
    reduced.most = std::min(room.most, open > 0 ? open - 1 : 0);
    return reduced;
}

std::optional<time_point> choose_idle_cutoff(std::vector<time_point> idle_since, std::size_t open,
                                             const connection_room& room) {
    const std::size_t excess = excess_connections(open, room);
    if (excess == 0 || idle_since.empty()) {
        return std::nullopt;
    }
    const std::size_t last = std::min(excess, idle_since.size()) - 1;
    const auto cutoff = idle_since.begin() + static_cast<std::ptrdiff_t>(last);
    std::nth_element(idle_since.begin(), cutoff, idle_since.end());
    return *cutoff;
}

std::optional<time_point> choose_stalled_cutoff(std::vector<time_point> stalled_since,
                                                std::size_t idle, std::size_t open,
                                                const connection_room& room, time_point now) {
    const std::size_t excess = excess_connections(open, room);
    std::erase_if(stalled_since,
                  [now](time_point since) { return now - since < min_connection_stall; });
    if (excess <= idle || stalled_since.empty()) {
        return std::nullopt;
    }
    const std::size_t last = std::min(excess - idle, stalled_since.size()) - 1;
    const auto cutoff = stalled_since.begin() + static_cast<std::ptrdiff_t>(last);
    std::nth_element(stalled_since.begin(), cutoff, stalled_since.end());
    return *cutoff;
}

} // namespace citronseam
