#include "citronseam/version/chunk_selection.h"

#include <algorithm>
#include <map>

namespace citronseam {
namespace {

constexpr std::size_t near_neighbours = 6;
constexpr std::size_t far_neighbours = 3;
/// Ranks that must have failed before an agent far from the origin draws from it.
constexpr std::uint32_t far_origin_delay = 2;
constexpr std::uint64_t chunks_until_stalled = 64;

std::string chunk_key(std::string_view version, std::size_t chunk) {
    return std::string(version) + ":" + std::to_string(chunk);
}

std::vector<swarm_member> closest(std::string_view key, std::vector<swarm_member> candidates,
                                  std::size_t count) {
    std::sort(candidates.begin(), candidates.end(), [key](const auto& left, const auto& right) {
        return rendezvous_weight(key, left.instance) > rendezvous_weight(key, right.instance);
    });
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

/// @return chunks that may be asked of a neighbour at once: as many as it answers in time
std::uint32_t most_asked(const neighbour_state& neighbour) noexcept {
    constexpr double longest_answer_ms = 400;
    constexpr std::uint32_t first_requests = 2;
    if (neighbour.answer_ms == 0) {
        return first_requests;
    }
    // Its answers take that long because of what others ask, too; all of them ask for less then.
    const auto in_time = static_cast<std::uint32_t>(longest_answer_ms / neighbour.answer_ms);
    return std::clamp(in_time, 1U, requests_per_neighbour);
}

bool may_ask(const neighbour_state& neighbour) noexcept {
    return neighbour.faults < most_faults && neighbour.late < most_late &&
           neighbour.requested < most_asked(neighbour);
}

/// Whether the sender whose turn the chunk is can be asked, now or when it is less busy.
bool is_sender_alive(const fetch_state& state, std::size_t sender) {
    return std::any_of(state.neighbours.begin(), state.neighbours.end(),
                       [sender](const neighbour_state& neighbour) {
                           return neighbour.sender == sender && neighbour.faults < most_faults &&
                                  neighbour.late < most_late;
                       });
}

/// Senders share the link evenly by rate, so each must send as many chunks as the others: the one
/// with more would go on while the others' shares lie idle.
bool is_its_turn(const fetch_state& state, std::size_t chunk, const neighbour_state& neighbour) {
    if (state.senders == 0 || state.level > 0) {
        return true;
    }
    const std::size_t sender = chunk % state.senders;
    return neighbour.sender == sender || !is_sender_alive(state, sender);
}

bool is_from_near(const fetch_state& state, std::size_t chunk, const neighbour_state& neighbour) {
    if (neighbour.is_same_region) {
        return true;
    }
    if (!state.far_for.empty()) {
        return state.far_for[chunk] >= import_patience * state.ranks[chunk];
    }
    return state.ranks[chunk] <= state.level && is_its_turn(state, chunk, neighbour);
}

bool may_draw(const fetch_state& state, std::size_t chunk) noexcept {
    if (!state.origin_ranks.empty()) {
        return state.origin_requests < state.origin_parallel &&
               state.origin_ranks[chunk] <= state.level;
    }
    const std::uint32_t delay = state.is_origin_near ? 0 : far_origin_delay;
    return state.origin_requests < state.origin_parallel &&
           state.ranks[chunk] + delay <= state.level;
}

/// @return time that one more chunk from a neighbour is expected to take
double expected_ms(const neighbour_state& neighbour) noexcept {
    constexpr double first_answer_ms = 50;
    const double answer = neighbour.answer_ms > 0 ? neighbour.answer_ms : first_answer_ms;
    return answer * (neighbour.requested + 1);
}

struct holder_count {
    std::uint32_t holders{0};
    std::optional<std::size_t> best; ///< the least asked neighbour that has the chunk
};

holder_count count_holders(const fetch_state& state, std::size_t chunk) {
    holder_count count;
    for (std::size_t i = 0; i < state.neighbours.size(); ++i) {
        const neighbour_state& neighbour = state.neighbours[i];
        if (chunk >= neighbour.held.size() || !neighbour.held[chunk]) {
            continue;
        }
        ++count.holders;
        if (!may_ask(neighbour) || !is_from_near(state, chunk, neighbour)) {
            continue;
        }
        if (!count.best || expected_ms(neighbour) < expected_ms(state.neighbours[*count.best])) {
            count.best = i;
        }
    }
    return count;
}

std::uint32_t count_requests(const fetch_state& state) noexcept {
    std::uint32_t count = state.origin_requests;
    for (const auto& neighbour : state.neighbours) {
        count += neighbour.requested;
    }
    return count;
}

} // namespace

std::uint32_t draw_rank(std::string_view version, std::size_t chunk, std::string_view self,
                        std::string_view region, const std::vector<swarm_member>& members) {
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
    std::vector<swarm_member> far;
    for (const auto& member : members) {
        if (member.region == origin_region) {
            far.push_back(member);
        }
    }
    // All agents of a region choose the same senders: the key is the region, not the agent.
    return closest(region, std::move(far), senders_per_link);
}

bool is_membership_settled(milliseconds since_start, milliseconds since_change,
                           milliseconds settling) noexcept {
    /// A start is over by then, even if members go on changing.
    constexpr int longest_start = 4;
    return since_change >= settling || since_start >= settling * longest_start;
}

bool is_origin_near(std::string_view region, std::string_view origin_region,
                    const std::vector<swarm_member>& members,
                    std::optional<milliseconds> since_listed, milliseconds patience) {
    if (region == origin_region) {
        return true;
    }
    const bool is_listed =
        std::any_of(members.begin(), members.end(),
                    [&](const swarm_member& member) { return member.region == origin_region; });
    return !is_listed && (!since_listed || *since_listed >= patience * far_origin_delay);
}

std::vector<swarm_member> choose_neighbours(std::string_view self, std::string_view region,
                                            std::string_view origin_region,
                                            const std::vector<swarm_member>& members) {
    std::vector<swarm_member> near;
    for (const auto& member : members) {
        if (member.instance != self && member.region == region) {
            near.push_back(member);
        }
    }
    std::vector<swarm_member> chosen = closest(self, std::move(near), near_neighbours);
    const auto senders = region_senders(region, origin_region, members);
    chosen.insert(chosen.end(), senders.begin(), senders.end());
    return chosen;
}

std::vector<std::uint32_t> origin_ranks(std::string_view version, std::size_t chunks,
                                        std::string_view self,
                                        const std::vector<swarm_member>& members) {
    std::vector<std::string_view> drawers{self};
    for (const auto& member : members) {
        if (member.instance != self) {
            drawers.push_back(member.instance);
        }
    }
    // All members must go through them in the same order.
    std::sort(drawers.begin(), drawers.end());
    const std::size_t most = (chunks + drawers.size() - 1) / drawers.size();
    std::map<std::string_view, std::size_t> loads;
    std::vector<std::uint32_t> ranks(chunks, 0);
    std::vector<std::pair<std::uint64_t, std::string_view>> order(drawers.size());
    for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
        const std::string key = chunk_key(version, chunk);
        std::transform(drawers.begin(), drawers.end(), order.begin(), [&key](auto drawer) {
            return std::pair(rendezvous_weight(key, drawer), drawer);
        });
        std::sort(order.rbegin(), order.rend());
        const auto owner = std::find_if(order.begin(), order.end(), [&](const auto& entry) {
            return loads[entry.second] < most;
        });
        ++loads[owner->second];
        std::rotate(order.begin(), owner, owner + 1);
        const auto own = std::find_if(order.begin(), order.end(),
                                      [self](const auto& entry) { return entry.second == self; });
        ranks[chunk] = static_cast<std::uint32_t>(own - order.begin());
    }
    return ranks;
}

std::vector<swarm_member> choose_neighbours_everywhere(std::string_view self,
                                                       std::string_view region,
                                                       const std::vector<swarm_member>& members) {
    std::map<std::string_view, std::vector<swarm_member>> by_region;
    for (const auto& member : members) {
        if (member.instance != self) {
            by_region[member.region].push_back(member);
        }
    }
    std::vector<swarm_member> chosen;
    for (auto& [name, candidates] : by_region) {
        const std::size_t count = name == region ? near_neighbours : far_neighbours;
        const auto closest_ones = closest(self, std::move(candidates), count);
        chosen.insert(chosen.end(), closest_ones.begin(), closest_ones.end());
    }
    return chosen;
}

std::optional<fetch_choice> choose_fetch(const fetch_state& state, random_source& random) {
    if (state.most_requests > 0 && count_requests(state) >= state.most_requests) {
        return std::nullopt;
    }
    std::optional<fetch_choice> choice;
    std::uint32_t fewest = 0;
    const std::size_t total = state.wanted.size();
    // A random start keeps neighbours from asking for the same chunks in the same order.
    const std::size_t start = below(random, total);
    for (std::size_t step = 0; step < total; ++step) {
        const std::size_t chunk = (start + step) % total;
        if (!state.wanted[chunk]) {
            continue;
        }
        const holder_count count = count_holders(state, chunk);
        // After a loss of most copies all ask the few holders; each draws its own chunks beside
        // that.
        const bool is_own = !state.origin_ranks.empty() && state.origin_ranks[chunk] == 0;
        const bool is_drawn =
            !count.best && (count.holders == 0 || is_own) && may_draw(state, chunk);
        if (!count.best && !is_drawn) {
            continue;
        }
        if (!choice || count.holders < fewest) {
            choice = fetch_choice{chunk, count.best};
            fewest = count.holders;
        }
        if (fewest == 0) {
            break;
        }
    }
    return choice;
}

std::uint32_t draw_level(milliseconds idle, milliseconds timeout) noexcept {
    return static_cast<std::uint32_t>(idle / timeout);
}

void forgive_late(neighbour_state& neighbour, milliseconds since_late,
                  milliseconds pause) noexcept {
    if (neighbour.late >= most_late && since_late >= pause) {
        neighbour.late = most_late - 1;
    }
}

milliseconds stall_timeout(std::uint64_t chunk_size, std::uint64_t rate,
                           milliseconds shortest) noexcept {
    if (rate == 0) {
        return shortest;
    }
    constexpr std::uint64_t in_ms = 1000;
    const auto scaled = milliseconds(chunks_until_stalled * chunk_size * in_ms / rate);
    return std::max(scaled, shortest);
}

} // namespace citronseam
