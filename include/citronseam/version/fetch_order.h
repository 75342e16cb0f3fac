/// @file
/// Decides in which order the agents of a service fetch announced versions.
///
/// An agent gets most chunks from others, so all must fetch the same version at a time. The order
/// therefore follows from what all agents know alike: when the versions were announced and how long
/// a fetch is expected to take, not from the chunks that an agent holds.
#ifndef CITRONSEAM_VERSION_FETCH_ORDER_H
#define CITRONSEAM_VERSION_FETCH_ORDER_H

#include <cstdint>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Parameters of the order; the same for all agents.
struct fetch_order_params {
    milliseconds switch_deadline{0}; ///< from an announcement until the version must be served
    milliseconds fetch_duration{0};  ///< expected duration of a fetch by all agents together
    milliseconds load_duration{0};   ///< from the end of a fetch until the version is served
};

/// A version that is to be fetched.
struct planned_fetch {
    std::uint64_t version{0};
    time_point announced_at;
    time_point starts_at; ///< expected start of the fetch
    /// When the next planned version is fetched even if this one is incomplete: later than this it
    /// cannot be served when it is due.
    time_point ends_at{time_point::max()};
    /// Known since the agent started. Most likely others have fetched it long before, so they turn
    /// to a newer version at once.
    bool is_initial{false};
};

/// Whether to finish a version before a newer one starts: a good part of it was fetched when the
/// newer one was announced, and both can still be complete in time.
/// @param older           the version that is being fetched
/// @param newer_announced when the newer version was announced
bool should_finish_before_newer(const planned_fetch& older, time_point newer_announced,
                                const fetch_order_params& params) noexcept;

/// Adds a version that was just announced. Removes those that it supersedes, and those whose end
/// has passed. The first version that is added is the initial one.
/// @param plan    planned versions, oldest first
/// @param version newer than all of the plan
void add_to_plan(std::vector<planned_fetch>& plan, std::uint64_t version, time_point announced_at,
                 const fetch_order_params& params);

/// Corrects when a planned version was announced. When its fetch must end moves with it.
void correct_plan(std::vector<planned_fetch>& plan, std::uint64_t version,
                  time_point announced_at) noexcept;

/// @param plan    planned versions, oldest first
/// @param minimum versions lower than this are ignored
/// @return the version to fetch now, or nullptr
const planned_fetch* find_current_fetch(const std::vector<planned_fetch>& plan,
                                        std::uint64_t minimum, time_point now) noexcept;

} // namespace citronseam

#endif
