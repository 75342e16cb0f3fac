#include "citronseam/version/chunk_selection.h"

#include <algorithm>
#include <map>

namespace citronseam {
namespace {

constexpr std::size_t same_region_neighbours = 6;
constexpr std::size_t neighbours_per_remote_region = 3;
/// Failover levels by which agents outside the origin's region wait longer before they use the
/// origin.
constexpr std::uint32_t remote_origin_rank_delay = 2;
constexpr std::uint64_t stall_timeout_chunks = 64;

std::string chunk_key(std::string_view version, std::size_t chunk) {
    return std::string(version) + ":" + std::to_string(chunk);
}

std::vector<swarm_member>
highest_weighted(std::string_view key, std::vector<swarm_member> candidates, std::size_t count) {
    std::sort(candidates.begin(), candidates.end(), [key](const auto& left, const auto& right) {
        return rendezvous_weight(key, left.instance) > rendezvous_weight(key, right.instance);
    });
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

/// @return limit of outstanding requests to a neighbour: as many as it can answer in time
std::uint32_t request_limit(const neighbour_state& neighbour) noexcept {
    constexpr double max_response_ms = 400;
    constexpr std::uint32_t initial_requests = 2;
    if (neighbour.response_time_ms == 0) {
        return initial_requests;
    }
    // Response times include the load by other agents, which reduce their requests likewise.
    const auto in_time = static_cast<std::uint32_t>(max_response_ms / neighbour.response_time_ms);
    return std::clamp(in_time, 1U, max_requests_per_neighbour);
}

bool can_request_from(const neighbour_state& neighbour) noexcept {
    return neighbour.corrupt_chunks < max_corrupt_chunks &&
           neighbour.timed_out_chunks < max_timed_out_chunks &&
           neighbour.outstanding_requests < request_limit(neighbour);
}

/// Whether the sender can be used, now or once it has fewer outstanding requests.
bool is_sender_usable(const fetch_state& state, std::size_t sender) {
    return std::any_of(state.neighbours.begin(), state.neighbours.end(),
                       [sender](const neighbour_state& neighbour) {
                           return neighbour.sender_index == sender &&
                                  neighbour.corrupt_chunks < max_corrupt_chunks &&
                                  neighbour.timed_out_chunks < max_timed_out_chunks;
                       });
}

/// Whether the chunk is assigned to this sender. Senders have equal shares of the link rate, so
/// they must send equally many chunks: one with more would still be sending while the shares of the
/// others are unused.
bool is_assigned_sender(const fetch_state& state, std::size_t chunk,
                        const neighbour_state& neighbour) {
    if (state.sender_count == 0 || state.failover_level > 0) {
        return true;
    }
    const std::size_t sender = chunk % state.sender_count;
    return neighbour.sender_index == sender || !is_sender_usable(state, sender);
}

bool may_fetch_from(const fetch_state& state, std::size_t chunk, const neighbour_state& neighbour) {
    if (neighbour.is_same_region) {
        return true;
    }
    if (!state.remote_only_durations.empty()) {
        return state.remote_only_durations[chunk] >= import_failover_delay * state.ranks[chunk];
    }
    return state.ranks[chunk] <= state.failover_level &&
           is_assigned_sender(state, chunk, neighbour);
}

bool may_fetch_from_origin(const fetch_state& state, std::size_t chunk) noexcept {
    if (!state.origin_fetch_ranks.empty()) {
        return state.origin_requests < state.max_origin_requests &&
               state.origin_fetch_ranks[chunk] <= state.failover_level;
    }
    const std::uint32_t delay = state.has_direct_origin_access ? 0 : remote_origin_rank_delay;
    return state.origin_requests < state.max_origin_requests &&
           state.ranks[chunk] + delay <= state.failover_level;
}

/// @return expected time in milliseconds until a neighbour has replied to one more request
double expected_response_ms(const neighbour_state& neighbour) noexcept {
    constexpr double initial_response_ms = 50;
    const double response_ms =
        neighbour.response_time_ms > 0 ? neighbour.response_time_ms : initial_response_ms;
    return response_ms * (neighbour.outstanding_requests + 1);
}

struct holder_summary {
    std::uint32_t holders{0};
    std::optional<std::size_t> best; ///< fastest usable neighbour that holds the chunk
};

holder_summary count_holders(const fetch_state& state, std::size_t chunk) {
    holder_summary count;
    for (std::size_t i = 0; i < state.neighbours.size(); ++i) {
        const neighbour_state& neighbour = state.neighbours[i];
        if (chunk >= neighbour.held.size() || !neighbour.held[chunk]) {
            continue;
        }
        ++count.holders;
        if (!can_request_from(neighbour) || !may_fetch_from(state, chunk, neighbour)) {
            continue;
        }
        if (!count.best ||
            expected_response_ms(neighbour) < expected_response_ms(state.neighbours[*count.best])) {
            count.best = i;
        }
    }
    return count;
}

std::uint32_t count_requests(const fetch_state& state) noexcept {
    std::uint32_t count = state.origin_requests;
    for (const auto& neighbour : state.neighbours) {
        count += neighbour.outstanding_requests;
    }
    return count;
}

} // namespace

std::uint32_t regional_fetch_rank(std::string_view version, std::size_t chunk,
                                  std::string_view self, std::string_view region,
                                  const std::vector<swarm_member>& members) {
    const std::string key = chunk_key(version, chunk);
    const std::uint64_t own = rendezvous_weight(key, self);
    return static_cast<std::uint32_t>(
        std::count_if(members.begin(), members.end(), [&](const swarm_member& member) {
            return member.region == region && member.instance != self &&
                   rendezvous_weight(key, member.instance) > own;
        }));
}

std::vector<swarm_member> region_senders(std::string_view region, std::string_view origin_region,
                                         const std::vector<swarm_member>& members) {
    if (region == origin_region) {
        return {};
    }
    std::vector<swarm_member> origin_members;
    for (const auto& member : members) {
        if (member.region == origin_region) {
            origin_members.push_back(member);
        }
    }
    // The key is the region, not the agent, so that all agents of a region get the same senders.
    return highest_weighted(region, std::move(origin_members), senders_per_remote_region);
}

bool is_membership_stable(milliseconds since_start, milliseconds since_change,
                          milliseconds settling_time) noexcept {
    /// Startup counts as over after this many settling times, even if members keep changing.
    constexpr int max_settling_periods = 4;
    return since_change >= settling_time || since_start >= settling_time * max_settling_periods;
}

bool has_direct_origin_access(std::string_view region, std::string_view origin_region,
                              const std::vector<swarm_member>& members,
                              std::optional<milliseconds> since_listed,
                              milliseconds failover_delay) {
    if (region == origin_region) {
        return true;
    }
    const bool is_listed =
        std::any_of(members.begin(), members.end(),
                    [&](const swarm_member& member) { return member.region == origin_region; });
    return !is_listed &&
           (!since_listed || *since_listed >= failover_delay * remote_origin_rank_delay);
}

std::vector<swarm_member> choose_neighbours(std::string_view self, std::string_view region,
                                            std::string_view origin_region,
                                            const std::vector<swarm_member>& members) {
    std::vector<swarm_member> local_members;
    for (const auto& member : members) {
        if (member.instance != self && member.region == region) {
            local_members.push_back(member);
        }
    }
    std::vector<swarm_member> chosen =
        highest_weighted(self, std::move(local_members), same_region_neighbours);
    const auto senders = region_senders(region, origin_region, members);
    chosen.insert(chosen.end(), senders.begin(), senders.end());
    return chosen;
}

std::vector<std::uint32_t> origin_fetch_ranks(std::string_view version, std::size_t chunks,
                                              std::string_view self,
                                              const std::vector<swarm_member>& members) {
    std::vector<std::string_view> fetchers{self};
    for (const auto& member : members) {
        if (member.instance != self) {
            fetchers.push_back(member.instance);
        }
    }
    // All members must assign chunks in the same order.
    std::sort(fetchers.begin(), fetchers.end());
    const std::size_t quota = (chunks + fetchers.size() - 1) / fetchers.size();
    std::map<std::string_view, std::size_t> assigned_counts;
    std::vector<std::uint32_t> ranks(chunks, 0);
    std::vector<std::pair<std::uint64_t, std::string_view>> order(fetchers.size());
    for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
        const std::string key = chunk_key(version, chunk);
        std::transform(fetchers.begin(), fetchers.end(), order.begin(), [&key](auto fetcher) {
            return std::pair(rendezvous_weight(key, fetcher), fetcher);
        });
        std::sort(order.rbegin(), order.rend());
        const auto owner = std::find_if(order.begin(), order.end(), [&](const auto& entry) {
            return assigned_counts[entry.second] < quota;
        });
        ++assigned_counts[owner->second];
        std::rotate(order.begin(), owner, owner + 1);
        const auto own = std::find_if(order.begin(), order.end(),
                                      [self](const auto& entry) { return entry.second == self; });
        ranks[chunk] = static_cast<std::uint32_t>(own - order.begin());
    }
    return ranks;
}

std::vector<swarm_member>
choose_neighbours_in_all_regions(std::string_view self, std::string_view region,
                                 const std::vector<swarm_member>& members) {
    std::map<std::string_view, std::vector<swarm_member>> by_region;
    for (const auto& member : members) {
        if (member.instance != self) {
            by_region[member.region].push_back(member);
        }
    }
    std::vector<swarm_member> chosen;
    for (auto& [name, candidates] : by_region) {
        const std::size_t count =
            name == region ? same_region_neighbours : neighbours_per_remote_region;
        const auto selected = highest_weighted(self, std::move(candidates), count);
        chosen.insert(chosen.end(), selected.begin(), selected.end());
    }
    return chosen;
}

std::optional<fetch_choice> choose_fetch(const fetch_state& state, random_source& random) {
    if (state.max_requests > 0 && count_requests(state) >= state.max_requests) {
        return std::nullopt;
    }
    std::optional<fetch_choice> choice;
    std::uint32_t fewest_holders = 0;
    const std::size_t total = state.wanted.size();
    // A random start keeps agents from requesting the same chunks in the same order.
    const std::size_t start = random_below(random, total);
    for (std::size_t step = 0; step < total; ++step) {
        const std::size_t chunk = (start + step) % total;
        if (!state.wanted[chunk]) {
            continue;
        }
        const holder_summary count = count_holders(state, chunk);
        // When few holders are left, all agents request from them; meanwhile each also fetches its
        // own chunks from the origin.
        const bool is_own =
            !state.origin_fetch_ranks.empty() && state.origin_fetch_ranks[chunk] == 0;
        const bool is_from_origin =
            !count.best && (count.holders == 0 || is_own) && may_fetch_from_origin(state, chunk);
        if (!count.best && !is_from_origin) {
            continue;
        }
        if (!choice || count.holders < fewest_holders) {
            choice = fetch_choice{chunk, count.best};
            fewest_holders = count.holders;
        }
        if (fewest_holders == 0) {
            break;
        }
    }
    return choice;
}

std::uint32_t compute_failover_level(milliseconds idle, milliseconds timeout) noexcept {
    return static_cast<std::uint32_t>(idle / timeout);
}

void readmit_timed_out_neighbour(neighbour_state& neighbour, milliseconds since_timeout,
                                 milliseconds cooldown) noexcept {
    if (neighbour.timed_out_chunks >= max_timed_out_chunks && since_timeout >= cooldown) {
        neighbour.timed_out_chunks = max_timed_out_chunks - 1;
    }
}

milliseconds stall_timeout(std::uint64_t chunk_size, std::uint64_t rate,
                           milliseconds minimum) noexcept {
    if (rate == 0) {
        return minimum;
    }
    constexpr std::uint64_t ms_per_second = 1000;
    const auto scaled = milliseconds(stall_timeout_chunks * chunk_size * ms_per_second / rate);
    return std::max(scaled, minimum);
}

} // namespace citronseam
