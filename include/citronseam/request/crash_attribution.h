/// @file
/// Finds out which requests crash the backend servers that run them.
///
/// A backend server runs requests of several gateways at once, and when it crashes they all end.
/// Each of them is a suspect. Requests are compared by their traits: the fingerprint of a request,
/// and the parts of its prompt that other requests may share. A trait is cleared when a server goes
/// on after it began to answer a request that has it. Of the traits that are not cleared, the one
/// with the most crashes explains these crashes, which then say nothing of the other traits.
/// Requests that have a trait with enough crashes are refused.
#ifndef CITRONSEAM_REQUEST_CRASH_ATTRIBUTION_H
#define CITRONSEAM_REQUEST_CRASH_ATTRIBUTION_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/request/quarantine.h"

namespace citronseam {

/// A request that a backend server may have been running when it was lost.
struct crash_suspect {
    std::uint64_t request{0}; ///< identifies the caller's attempt
    std::vector<std::uint64_t> traits;
    time_point sent_at;
};

/// The loss of one incarnation of a backend server.
struct server_crash {
    lost_server server;
    time_point lost_at;
    std::vector<crash_suspect> suspects;
    /// When a server that fell silent was last known to be alive: its crash follows another one
    /// only if it was alive after that. nullopt: the server closed its connections as it was lost.
    std::optional<time_point> alive_at;
};

/// Sorted traits. A request that has all of them is refused: they had the same crashes, so any of
/// them may be the cause.
using trait_set = std::vector<std::uint64_t>;

/// A cause that was found before this process started.
struct restored_cause {
    trait_set traits;
    time_point expires_at;
};

/// What one process knows of lost servers.
struct crash_attribution {
    std::vector<server_crash> crashes;           ///< oldest first
    std::unordered_set<std::uint64_t> suspected; ///< traits in `crashes`, and some that were
    std::vector<restored_cause> restored;
    std::vector<trait_set> refused; ///< as of the last update_refused_traits()
    milliseconds lifetime{600000};  ///< a crash is forgotten after this
    /// Crashes, each of a request sent after the crash before it, until a trait counts as the
    /// cause.
    std::size_t crashes_to_refuse{3};
    bool is_outdated{false}; ///< `crashes` has changed since the last update_refused_traits()
};

/// @param model model that the prompt is for
/// @param part  identifier of a part of a prompt
/// @return the trait of requests whose prompt has the part
std::uint64_t prompt_part_trait(std::string_view model, std::string_view part) noexcept;

/// Adds what is known of the loss of a server. A report of a known loss or suspect only corrects
/// its time, if it was earlier.
/// @param loss suspects beyond a fixed number are ignored
/// @return whether anything was new
bool add_crash(crash_attribution& state, const server_crash& loss, time_point now);

/// Removes the loss of a server that has answered a request sent after it, unless the server may
/// have restarted since.
/// @return whether there was a loss to remove
bool refute_crash(crash_attribution& state, const lost_server& server, time_point sent_at);

/// Removes the loss of a server.
/// @return whether there was one
bool forget_crash(crash_attribution& state, const lost_server& server);

/// Removes the loss of a server that only fell silent.
/// @return whether there was one
bool forget_silent_crash(crash_attribution& state, const lost_server& server);

/// Adds a cause that was found before this process started. It is cleared as those are that follow
/// from the crashes.
void restore_cause(crash_attribution& state, const trait_set& traits, time_point expires_at);

/// Clears traits of suspicion.
/// @return those of them that were suspected
std::vector<std::uint64_t> clear_traits(crash_attribution& state,
                                        const std::vector<std::uint64_t>& traits);

/// Removes old crashes, and brings the refused traits up to date if anything changed.
/// @return whether the refused traits changed
bool update_refused_traits(crash_attribution& state, time_point now);

/// @param traits all traits of the request
/// @return whether a request must not be sent to a server
bool is_refused(const crash_attribution& state, const std::vector<std::uint64_t>& traits);

/// @return time until the newest crash or cause is forgotten, zero when there is none
milliseconds time_to_expiry(const crash_attribution& state, time_point now) noexcept;

} // namespace citronseam

#endif
