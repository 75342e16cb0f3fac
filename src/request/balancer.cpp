#include "citronseam/request/balancer.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Random pairs tried before the group is scanned.
constexpr int random_pairs = 3;
/// Maximum number of servers scanned. The bound keeps the cost of a choice independent of the size
/// of the service.
constexpr std::size_t max_scanned_servers = 32;
/// Maximum number of requests by which a preferred server may exceed the random choice.
constexpr std::uint32_t max_affinity_excess = 2;

using excluded_list = std::vector<const backend_server_load*>;

bool is_excluded(const excluded_list& excluded, const backend_server_load* load) noexcept {
    return std::find(excluded.begin(), excluded.end(), load) != excluded.end();
}

bool has_room(const backend_server_load* load, std::uint32_t entry_count,
              const excluded_list& excluded) noexcept {
    return free_capacity(*load, entry_count) > 0 && !is_excluded(excluded, load);
}

/// Requests at the server: this entry process's own count, which is exact, plus the requests of
/// other entry processes according to the last report.
std::uint32_t estimated_requests(const backend_server_load& load) noexcept {
    const std::uint32_t own = load.outstanding.load(std::memory_order_relaxed);
    const std::uint32_t running = load.running.load(std::memory_order_relaxed);
    const std::uint32_t outstanding_at_report =
        load.outstanding_at_report.load(std::memory_order_relaxed);
    return own + (running > outstanding_at_report ? running - outstanding_at_report : 0);
}

/// Compares utilization, left_requests / left_limit < right_requests / right_limit, without a
/// division. The request to be placed is included.
bool is_less_loaded(const backend_server_load& left, const backend_server_load& right) noexcept {
    const std::uint64_t left_requests = estimated_requests(left) + 1;
    const std::uint64_t right_requests = estimated_requests(right) + 1;
    const std::uint64_t left_limit = left.limit.load(std::memory_order_relaxed);
    const std::uint64_t right_limit = right.limit.load(std::memory_order_relaxed);
    return left_requests * right_limit < right_requests * left_limit;
}

backend_server_load* less_loaded_with_room(backend_server_load* left, backend_server_load* right,
                                           std::uint32_t entry_count,
                                           const excluded_list& excluded) noexcept {
    const bool has_left_room = has_room(left, entry_count, excluded);
    const bool has_right_room = has_room(right, entry_count, excluded);
    if (has_left_room && has_right_room) {
        return is_less_loaded(*right, *left) ? right : left;
    }
    if (has_left_room) {
        return left;
    }
    return has_right_room ? right : nullptr;
}

backend_server_load* choose_in_group(const std::vector<backend_server_load*>& group,
                                     std::uint32_t entry_count, const excluded_list& excluded,
                                     random_source& random) noexcept {
    if (group.empty()) {
        return nullptr;
    }
    for (int attempt = 0; attempt < random_pairs; ++attempt) {
        backend_server_load* left = group[random_below(random, group.size())];
        backend_server_load* right = group[random_below(random, group.size())];
        if (backend_server_load* found =
                less_loaded_with_room(left, right, entry_count, excluded)) {
            return found;
        }
    }
    const std::size_t start = random_below(random, group.size());
    const std::size_t steps = std::min(group.size(), max_scanned_servers);
    for (std::size_t step = 0; step < steps; ++step) {
        backend_server_load* candidate = group[(start + step) % group.size()];
        if (has_room(candidate, entry_count, excluded)) {
            return candidate;
        }
    }
    return nullptr;
}

bool is_within_affinity_bound(const backend_server_load& preferred,
                              const backend_server_load* chosen) noexcept {
    return chosen == nullptr ||
           estimated_requests(preferred) <= estimated_requests(*chosen) + max_affinity_excess;
}

} // namespace

std::uint32_t free_capacity(const backend_server_load& load, std::uint32_t entry_count) noexcept {
    const std::uint32_t limit = load.limit.load(std::memory_order_relaxed);
    if (limit == 0 || !load.is_accepting.load(std::memory_order_relaxed)) {
        return 0;
    }
    const std::uint32_t own = load.outstanding.load(std::memory_order_relaxed);
    const std::uint32_t requests = estimated_requests(load);
    const std::uint32_t room = requests < limit ? limit - requests : 0;
    const std::uint32_t entries = std::max(entry_count, 1U);
    const std::uint32_t share = (limit + entries - 1) / entries;
    if (own < share) {
        return std::max(room, share - own);
    }
    // Places that become free belong to the entries below their shares.
    const std::uint32_t others = requests - own;
    const std::uint32_t parts_of_others = (entries - 1) * (limit / entries);
    return others > 0 && others >= parts_of_others ? 0 : room;
}

backend_server_load* choose_backend_server(const service_pool& pool,
                                           const preferred_server& preferred,
                                           const excluded_list& excluded,
                                           random_source& random) noexcept {
    backend_server_load* chosen =
        choose_in_group(pool.own_zone, pool.entry_count, excluded, random);

    const bool has_own_zone_room = chosen != nullptr;
    if (!has_own_zone_room) {
        chosen = choose_in_group(pool.other_zones, pool.entry_count, excluded, random);
    }
    const bool is_zone_acceptable = preferred.is_own_zone || !has_own_zone_room;
    if (preferred.load != nullptr && is_zone_acceptable &&
        has_room(preferred.load, pool.entry_count, excluded) &&
        is_within_affinity_bound(*preferred.load, chosen)) {
        return preferred.load;
    }
    return chosen;
}

backend_server_load* choose_round_robin(const service_pool& pool, std::uint64_t& cursor) noexcept {
    const std::size_t total = pool.own_zone.size() + pool.other_zones.size();
    for (std::size_t step = 0; step < total; ++step) {
        const std::size_t index = cursor++ % total;
        backend_server_load* candidate = index < pool.own_zone.size()
                                             ? pool.own_zone[index]
                                             : pool.other_zones[index - pool.own_zone.size()];
        if (candidate->is_accepting.load(std::memory_order_relaxed)) {
            return candidate;
        }
    }
    return nullptr;
}

} // namespace citronseam
