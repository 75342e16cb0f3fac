#include "citronseam/request/crash_attribution.h"

#include <algorithm>
#include <unordered_map>

#include "citronseam/process/random.h"

namespace citronseam {
namespace {

constexpr std::size_t max_crashes = 256;
/// More than the slots and the queue of an engine.
constexpr std::size_t max_suspects = 64;
/// A server that was lost does not answer again within this time.
constexpr milliseconds min_restart_time{2000};

/// One crash that ended requests with a certain trait.
struct trait_crash {
    std::size_t index{0}; ///< in crash_attribution::crashes
    time_point last_sent_at;
    std::vector<std::uint64_t> requests;
};

/// The crashes of one trait, oldest first.
struct trait_record {
    std::uint64_t trait{0};
    std::vector<trait_crash> crashes;
};

std::vector<server_crash>::iterator find_crash(crash_attribution& state,
                                               const lost_server& server) {
    return std::find_if(state.crashes.begin(), state.crashes.end(),
                        [&](const server_crash& crash) { return crash.server == server; });
}

/// A report that is read late dates what it tells too late, so of two times the earlier one holds.
/// @return whether the time changed
bool keep_earlier(time_point& known, time_point reported) noexcept {
    if (reported >= known) {
        return false;
    }
    known = reported;
    return true;
}

/// @return whether anything was new
bool add_suspect(server_crash& crash, const crash_suspect& added) {
    const auto known = std::find_if(
        crash.suspects.begin(), crash.suspects.end(),
        [&](const crash_suspect& suspect) { return suspect.request == added.request; });
    if (known != crash.suspects.end()) {
        return keep_earlier(known->sent_at, added.sent_at);
    }
    if (crash.suspects.size() >= max_suspects) {
        return false;
    }
    crash.suspects.push_back(added);
    return true;
}

/// Of two reports of a loss, the one holds that knows the server to be alive for longer.
/// @return whether that changed
bool keep_later_life(server_crash& known, const server_crash& reported) noexcept {
    const bool is_later =
        known.alive_at && (!reported.alive_at || *reported.alive_at > *known.alive_at);
    if (is_later) {
        known.alive_at = reported.alive_at;
    }
    return is_later;
}

/// @return whether a server may have been alive after another one was lost
bool was_alive_after(const server_crash& crash, const server_crash& other) noexcept {
    return !crash.alive_at || *crash.alive_at >= other.lost_at;
}

/// @return the traits that are in at least `min_crashes` crashes
std::vector<trait_record> collect_traits(const crash_attribution& state, std::size_t min_crashes) {
    std::unordered_map<std::uint64_t, trait_record> by_trait;
    for (std::size_t i = 0; i < state.crashes.size(); ++i) {
        for (const crash_suspect& suspect : state.crashes[i].suspects) {
            for (const std::uint64_t trait : suspect.traits) {
                std::vector<trait_crash>& crashes = by_trait[trait].crashes;
                if (crashes.empty() || crashes.back().index != i) {
                    crashes.push_back({i, suspect.sent_at, {}});
                }
                trait_crash& crash = crashes.back();
                crash.last_sent_at = std::max(crash.last_sent_at, suspect.sent_at);
                crash.requests.push_back(suspect.request);
            }
        }
    }
    std::vector<trait_record> collected;
    for (auto& [trait, record] : by_trait) {
        if (record.crashes.size() >= min_crashes) {
            record.trait = trait;
            collected.push_back(std::move(record));
        }
    }
    return collected;
}

/// A request that is in both crashes was sent again after the first one. This holds although the
/// times of other processes are known to some milliseconds only.
bool has_common_request(const trait_crash& left, const trait_crash& right) {
    return std::find_first_of(left.requests.begin(), left.requests.end(), right.requests.begin(),
                              right.requests.end()) != left.requests.end();
}

/// Counts crashes of which each had a request that was sent after the crash before it, to a server
/// that was still alive: servers that are lost at the same moment share another cause, such as a
/// loss of power.
std::size_t count_successive(const crash_attribution& state, const trait_record& record) {
    std::size_t count = 0;
    const trait_crash* last = nullptr;
    for (const trait_crash& crash : record.crashes) {
        const bool follows =
            last == nullptr ||
            (was_alive_after(state.crashes[crash.index], state.crashes[last->index]) &&
             (crash.last_sent_at >= state.crashes[last->index].lost_at ||
              has_common_request(*last, crash)));
        if (follows) {
            ++count;
            last = &crash;
        }
    }
    return count;
}

bool has_same_crashes(const trait_record& left, const trait_record& right) {
    return std::equal(
        left.crashes.begin(), left.crashes.end(), right.crashes.begin(), right.crashes.end(),
        [](const trait_crash& a, const trait_crash& b) { return a.index == b.index; });
}

/// Removes crashes that another trait explains.
void remove_explained(trait_record& record, const trait_record& cause) {
    std::erase_if(record.crashes, [&](const trait_crash& crash) {
        return std::any_of(cause.crashes.begin(), cause.crashes.end(),
                           [&](const trait_crash& other) { return other.index == crash.index; });
    });
}

std::vector<trait_set> find_causes(const crash_attribution& state) {
    std::vector<trait_record> candidates = collect_traits(state, state.crashes_to_refuse);
    std::vector<trait_set> causes;
    while (true) {
        const trait_record* best = nullptr;
        for (const trait_record& record : candidates) {
            const bool is_better = best == nullptr || record.crashes.size() > best->crashes.size();
            if (is_better && count_successive(state, record) >= state.crashes_to_refuse) {
                best = &record;
            }
        }
        if (best == nullptr) {
            return causes;
        }
        const trait_record cause = *best;
        trait_set traits;
        for (trait_record& record : candidates) {
            if (has_same_crashes(record, cause)) {
                traits.push_back(record.trait);
            }
        }
        std::sort(traits.begin(), traits.end());
        causes.push_back(std::move(traits));
        for (trait_record& record : candidates) {
            remove_explained(record, cause);
        }
    }
}

/// Drops the oldest crash, if possible one whose suspects have all been cleared.
void drop_one(std::vector<server_crash>& crashes) {
    const auto is_cleared = [](const server_crash& crash) {
        return std::all_of(crash.suspects.begin(), crash.suspects.end(),
                           [](const crash_suspect& suspect) { return suspect.traits.empty(); });
    };
    const auto cleared = std::find_if(crashes.begin(), crashes.end(), is_cleared);
    crashes.erase(cleared == crashes.end() ? crashes.begin() : cleared);
}

} // namespace

std::uint64_t prompt_part_trait(std::string_view model, std::string_view part) noexcept {
    return hash_text(part, hash_text(model));
}

bool add_crash(crash_attribution& state, const server_crash& loss, time_point now) {
    if (now - loss.lost_at >= state.lifetime) {
        return false;
    }
    auto crash = find_crash(state, loss.server);
    bool is_new = crash == state.crashes.end();
    if (is_new) {
        crash = state.crashes.insert(crash, {loss.server, loss.lost_at, {}, loss.alive_at});
    } else {
        is_new = keep_earlier(crash->lost_at, loss.lost_at);
        state.is_outdated = keep_later_life(*crash, loss) || state.is_outdated;
    }
    const auto later = std::find_if(state.crashes.begin(), crash, [&](const server_crash& known) {
        return known.lost_at > loss.lost_at;
    });
    if (is_new && later != crash) {
        std::rotate(later, crash, std::next(crash));
        crash = later;
    }
    for (const crash_suspect& suspect : loss.suspects) {
        if (add_suspect(*crash, suspect)) {
            is_new = true;
            state.suspected.insert(suspect.traits.begin(), suspect.traits.end());
        }
    }
    if (state.crashes.size() > max_crashes) {
        drop_one(state.crashes);
    }
    state.is_outdated = state.is_outdated || is_new;
    return is_new;
}

bool refute_crash(crash_attribution& state, const lost_server& server, time_point sent_at) {
    const auto crash = find_crash(state, server);
    if (crash == state.crashes.end() || sent_at <= crash->lost_at ||
        sent_at - crash->lost_at >= min_restart_time) {
        return false;
    }
    state.crashes.erase(crash);
    state.is_outdated = true;
    return true;
}

bool forget_crash(crash_attribution& state, const lost_server& server) {
    const auto crash = find_crash(state, server);
    if (crash == state.crashes.end()) {
        return false;
    }
    state.crashes.erase(crash);
    state.is_outdated = true;
    return true;
}

bool forget_silent_crash(crash_attribution& state, const lost_server& server) {
    const auto crash = find_crash(state, server);
    return crash != state.crashes.end() && crash->alive_at && forget_crash(state, server);
}

void restore_cause(crash_attribution& state, const trait_set& traits, time_point expires_at) {
    state.restored.push_back({traits, expires_at});
    state.suspected.insert(traits.begin(), traits.end());
    state.is_outdated = true;
}

std::vector<std::uint64_t> clear_traits(crash_attribution& state,
                                        const std::vector<std::uint64_t>& traits) {
    std::vector<std::uint64_t> cleared;
    for (const std::uint64_t trait : traits) {
        if (state.suspected.erase(trait) > 0) {
            cleared.push_back(trait);
        }
    }
    if (cleared.empty()) {
        return cleared;
    }
    const auto is_cleared = [&](std::uint64_t trait) {
        return std::find(cleared.begin(), cleared.end(), trait) != cleared.end();
    };
    for (server_crash& crash : state.crashes) {
        for (crash_suspect& suspect : crash.suspects) {
            std::erase_if(suspect.traits, is_cleared);
        }
    }
    for (restored_cause& cause : state.restored) {
        std::erase_if(cause.traits, is_cleared);
    }
    std::erase_if(state.restored, [](const restored_cause& cause) { return cause.traits.empty(); });
    state.is_outdated = true;
    return cleared;
}

bool update_refused_traits(crash_attribution& state, time_point now) {
    const std::size_t expired = std::erase_if(state.crashes,
                                              [&](const server_crash& crash) {
                                                  return now - crash.lost_at >= state.lifetime;
                                              }) +
                                std::erase_if(state.restored, [&](const restored_cause& cause) {
                                    return now >= cause.expires_at;
                                });
    if (expired == 0 && !state.is_outdated) {
        return false;
    }
    state.is_outdated = false;
    std::vector<trait_set> causes = find_causes(state);
    for (const restored_cause& cause : state.restored) {
        if (std::find(causes.begin(), causes.end(), cause.traits) == causes.end()) {
            causes.push_back(cause.traits);
        }
    }
    const bool is_changed = causes != state.refused;
    state.refused = std::move(causes);
    return is_changed;
}

bool is_refused(const crash_attribution& state, const std::vector<std::uint64_t>& traits) {
    return std::any_of(state.refused.begin(), state.refused.end(), [&](const trait_set& cause) {
        return std::all_of(cause.begin(), cause.end(), [&](std::uint64_t trait) {
            return std::find(traits.begin(), traits.end(), trait) != traits.end();
        });
    });
}

milliseconds time_to_expiry(const crash_attribution& state, time_point now) noexcept {
    if (state.crashes.empty() && state.restored.empty()) {
        return milliseconds(0);
    }
    time_point expires_at =
        state.crashes.empty() ? now : state.crashes.back().lost_at + state.lifetime;
    for (const restored_cause& cause : state.restored) {
        expires_at = std::max(expires_at, cause.expires_at);
    }
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(expires_at - now));
}

} // namespace citronseam
