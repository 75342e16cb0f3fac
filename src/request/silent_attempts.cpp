#include "citronseam/request/silent_attempts.h"

#include <algorithm>

namespace citronseam {
namespace {

/// The store drops the entry of a silent server after a few of its heartbeats.
constexpr std::chrono::seconds max_age{30};
constexpr std::size_t max_attempts = 1024;
constexpr std::size_t max_gone_servers = 256;

void remove_old(silent_servers& state, time_point now) {
    std::erase_if(state.attempts, [&](const silent_attempt& attempt) {
        return now - attempt.given_up_at >= max_age;
    });
    std::erase_if(state.gone,
                  [&](const gone_server& server) { return now - server.gone_at >= max_age; });
    if (state.attempts.size() > max_attempts) {
        state.attempts.erase(state.attempts.begin());
    }
    if (state.gone.size() > max_gone_servers) {
        state.gone.erase(state.gone.begin());
    }
}

void remove_attempts(silent_servers& state, const lost_server& server) {
    std::erase_if(state.attempts,
                  [&](const silent_attempt& attempt) { return attempt.server == server; });
}

/// Removes the attempts at a server.
/// @return its loss; nullopt when there were none
std::optional<server_crash> take_crash(silent_servers& state, const lost_server& server) {
    std::optional<server_crash> crash;
    for (const silent_attempt& attempt : state.attempts) {
        if (attempt.server != server || attempt.suspect.traits.empty()) {
            continue;
        }
        if (!crash) {
            crash = {server, attempt.given_up_at, {}, attempt.alive_at};
        }
        crash->lost_at = std::min(crash->lost_at, attempt.given_up_at);
        crash->alive_at = std::max(*crash->alive_at, attempt.alive_at);
        crash->suspects.push_back(attempt.suspect);
    }
    remove_attempts(state, server);
    return crash;
}

} // namespace

std::optional<server_crash> add_silent_attempt(silent_servers& state,
                                               const silent_attempt& attempt) {
    state.attempts.push_back(attempt);
    remove_old(state, attempt.given_up_at);
    const bool is_gone =
        std::any_of(state.gone.begin(), state.gone.end(),
                    [&](const gone_server& known) { return known.server == attempt.server; });
    return is_gone ? take_crash(state, attempt.server) : std::nullopt;
}

std::optional<server_crash> record_gone(silent_servers& state, const lost_server& server,
                                        time_point now) {
    state.gone.push_back({server, now});
    remove_old(state, now);
    return take_crash(state, server);
}

void record_life(silent_servers& state, const lost_server& server) {
    remove_attempts(state, server);
}

void forget_gone(silent_servers& state, const lost_server& server) {
    std::erase_if(state.gone, [&](const gone_server& known) { return known.server == server; });
}

void clear_silent_traits(silent_servers& state, const std::vector<std::uint64_t>& traits) {
    for (silent_attempt& attempt : state.attempts) {
        std::erase_if(attempt.suspect.traits, [&](std::uint64_t trait) {
            return std::find(traits.begin(), traits.end(), trait) != traits.end();
        });
    }
}

} // namespace citronseam
