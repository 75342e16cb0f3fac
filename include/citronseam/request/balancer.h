/// @file
/// Chooses a backend server: power of two random choices by outstanding requests, preferring the
/// local availability zone.
#ifndef CITRONSEAM_REQUEST_BALANCER_H
#define CITRONSEAM_REQUEST_BALANCER_H

#include <atomic>
#include <cstdint>
#include <vector>

#include "citronseam/process/random.h"

namespace citronseam {

/// Load of one backend server as known to an entry process. Traffic threads update `outstanding`;
/// the control thread updates the other fields from heartbeats.
struct backend_server_load {
    std::atomic<std::uint32_t> outstanding{0}; ///< requests in flight from this entry process
    std::atomic<std::uint32_t> limit{0};       ///< concurrency limit last reported by its agent
    std::atomic<std::uint32_t> running{0};     ///< running there in total, as last reported
    std::atomic<std::uint32_t> outstanding_at_report{0}; ///< `outstanding` when that report arrived
    std::atomic<bool> is_accepting{false}; ///< ready, not shutting down, zone in service
};

/// Backend servers of one service as known to an entry process, grouped by distance.
struct service_pool {
    std::vector<backend_server_load*> own_zone;
    std::vector<backend_server_load*> other_zones;
    std::uint32_t entry_count{1}; ///< entry processes that send requests to the servers
};

/// A server that likely has the prompt's prefix cached, and whether it is in the local zone.
struct preferred_server {
    backend_server_load* load{nullptr}; ///< nullptr for none
    bool is_own_zone{false};
};

/// A report of the requests of others is old after one short request, so it takes no entry process
/// below its equal share of the limit, rounded up. Beyond its share, an entry process takes free
/// places only while the others use less than theirs. An agent refuses what exceeds its limit, and
/// reports again as soon as it has room.
/// @param entry_count entry processes that send requests to the server
/// @return the number of further requests the server can take, as known to this entry process
std::uint32_t free_capacity(const backend_server_load& load, std::uint32_t entry_count) noexcept;

/// Chooses a backend server with free capacity.
///
/// The preferred server is chosen unless it is busier than the better of two random choices by more
/// than a fixed bound, so that affinity cannot overload it. Affinity never moves a request out of
/// the local availability zone while the zone has capacity: bandwidth between regions is scarcer
/// than cached prefixes.
/// @param pool      candidates
/// @param preferred server that likely has the prompt's prefix cached
/// @param excluded  servers that already refused this request
/// @param random    source of randomness
/// @return the server, or nullptr when none of the servers tried has free capacity
backend_server_load* choose_backend_server(const service_pool& pool,
                                           const preferred_server& preferred,
                                           const std::vector<const backend_server_load*>& excluded,
                                           random_source& random) noexcept;

/// Round robin over all servers that accept requests, ignoring load: the baseline for benchmarks.
/// @param cursor position, advanced by the call
backend_server_load* choose_round_robin(const service_pool& pool, std::uint64_t& cursor) noexcept;

} // namespace citronseam

#endif
