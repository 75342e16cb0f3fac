/// @file
/// Chooses a backend server: two random choices on outstanding work, own availability zone first.
#ifndef CITRONSEAM_REQUEST_BALANCER_H
#define CITRONSEAM_REQUEST_BALANCER_H

#include <atomic>
#include <cstdint>
#include <vector>

#include "citronseam/process/random.h"

namespace citronseam {

/// What an entry knows of the load of one backend server. Traffic threads count `outstanding`;
/// the control thread writes the rest from heartbeats.
struct backend_server_load {
    std::atomic<std::uint32_t> outstanding{0}; ///< requests of this entry that are on their way
    std::atomic<std::uint32_t> limit{0};       ///< what its agent admits, as last heard
    std::atomic<std::uint32_t> running{0};     ///< what its agent runs for all entries, lagging
    std::atomic<std::uint32_t> heard_own{0};   ///< `outstanding` at the time of that report
    std::atomic<bool> is_accepting{false};     ///< ready, not leaving, zone in service
};

/// Backend servers of one service as an entry sees them, grouped by distance.
struct service_pool {
    std::vector<backend_server_load*> own_zone;
    std::vector<backend_server_load*> other_zones;
};

/// A server that likely holds the prompt's prefix, and where it stands.
struct preferred_server {
    backend_server_load* load{nullptr}; ///< nullptr for none
    bool is_own_zone{false};
};

/// @return the number of requests that the server still takes, as far as this entry knows
std::uint32_t free_places(const backend_server_load& load) noexcept;

/// Picks a backend server with a free place.
///
/// The preferred server is taken while it is not busier than the better of two random choices by
/// more than a bound, so that affinity cannot overload it. It never draws a request out of the own
/// availability zone while there is room: links between regions are scarcer than prefixes.
/// @param pool      candidates
/// @param preferred server that likely holds the prompt's prefix
/// @param excluded  servers that refused this request already
/// @param random    source of randomness
/// @return the server, or nullptr when none of those tried has a free place
backend_server_load* choose_backend_server(const service_pool& pool,
                                           const preferred_server& preferred,
                                           const std::vector<const backend_server_load*>& excluded,
                                           random_source& random) noexcept;

/// Round robin over all servers that accept work, blind to load: the baseline for measurements.
/// @param cursor position, advanced by the call
backend_server_load* choose_round_robin(const service_pool& pool, std::uint64_t& cursor) noexcept;

} // namespace citronseam

#endif
