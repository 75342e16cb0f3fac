#include "citronseam/request/balancer.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Pairs tried at random before the group is walked.
constexpr int random_pairs = 3;
/// Servers looked at in a walk. A bound keeps the choice flat in the size of the service.
constexpr std::size_t longest_walk = 32;
/// Requests by which a preferred server may be busier than the random choice.
constexpr std::uint32_t affinity_slack = 2;

using excluded_list = std::vector<const backend_server_load*>;

bool is_excluded(const excluded_list& excluded, const backend_server_load* load) noexcept {
    return std::find(excluded.begin(), excluded.end(), load) != excluded.end();
}

bool has_room(const backend_server_load* load, const excluded_list& excluded) noexcept {
    return free_places(*load) > 0 && !is_excluded(excluded, load);
}

/// Work on the server: this entry's own count, which is exact, plus what the last report says that
/// other entries have there.
std::uint32_t work_on(const backend_server_load& load) noexcept {
    const std::uint32_t own = load.outstanding.load(std::memory_order_relaxed);
    const std::uint32_t running = load.running.load(std::memory_order_relaxed);
    const std::uint32_t heard_own = load.heard_own.load(std::memory_order_relaxed);
    return own + (running > heard_own ? running - heard_own : 0);
}

/// Compares by share of the limit in use: work_a / limit_a < work_b / limit_b without a division.
bool is_less_loaded(const backend_server_load& left, const backend_server_load& right) noexcept {
    const std::uint64_t left_work = work_on(left) + 1;
    const std::uint64_t right_work = work_on(right) + 1;
    const std::uint64_t left_limit = left.limit.load(std::memory_order_relaxed);
    const std::uint64_t right_limit = right.limit.load(std::memory_order_relaxed);
    return left_work * right_limit < right_work * left_limit;
}

backend_server_load* better(backend_server_load* left, backend_server_load* right,
                            const excluded_list& excluded) noexcept {
    const bool is_left = has_room(left, excluded);
    const bool is_right = has_room(right, excluded);
    if (is_left && is_right) {
        return is_less_loaded(*right, *left) ? right : left;
    }
    if (is_left) {
        return left;
    }
    return is_right ? right : nullptr;
}

backend_server_load* choose_in_group(const std::vector<backend_server_load*>& group,
                                     const excluded_list& excluded,
                                     random_source& random) noexcept {
    if (group.empty()) {
        return nullptr;
    }
    for (int attempt = 0; attempt < random_pairs; ++attempt) {
        backend_server_load* left = group[below(random, group.size())];
        backend_server_load* right = group[below(random, group.size())];
        if (backend_server_load* found = better(left, right, excluded)) {
            return found;
        }
    }
    const std::size_t start = below(random, group.size());
    const std::size_t steps = std::min(group.size(), longest_walk);
    for (std::size_t step = 0; step < steps; ++step) {
        backend_server_load* candidate = group[(start + step) % group.size()];
        if (has_room(candidate, excluded)) {
            return candidate;
        }
    }
    return nullptr;
}

bool is_affinity_affordable(const backend_server_load& preferred,
                            const backend_server_load* chosen) noexcept {
    return chosen == nullptr || work_on(preferred) <= work_on(*chosen) + affinity_slack;
}

} // namespace

std::uint32_t free_places(const backend_server_load& load) noexcept {
    if (!load.is_accepting.load(std::memory_order_relaxed)) {
        return 0;
    }
    const std::uint32_t limit = load.limit.load(std::memory_order_relaxed);
    const std::uint32_t work = work_on(load);
    return work < limit ? limit - work : 0;
}

backend_server_load* choose_backend_server(const service_pool& pool,
                                           const preferred_server& preferred,
                                           const excluded_list& excluded,
                                           random_source& random) noexcept {
    backend_server_load* chosen = choose_in_group(pool.own_zone, excluded, random);

    const bool has_own_room = chosen != nullptr;
    if (!has_own_room) {
        chosen = choose_in_group(pool.other_zones, excluded, random);
    }
    const bool is_near_enough = preferred.is_own_zone || !has_own_room;
    if (preferred.load != nullptr && is_near_enough && has_room(preferred.load, excluded) &&
        is_affinity_affordable(*preferred.load, chosen)) {
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
