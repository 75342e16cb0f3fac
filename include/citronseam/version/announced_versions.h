/// @file
/// Dates the weight versions that the operator announced.
///
/// The time until announced weights are due runs from the announcement, not from when a process
/// learned of it: a process that was stopped, cut off or started meanwhile learns late. Processes
/// therefore tell each other the age of what they know. Ages need no common clock, and a process
/// keeps the highest one that it hears of.
#ifndef CITRONSEAM_VERSION_ANNOUNCED_VERSIONS_H
#define CITRONSEAM_VERSION_ANNOUNCED_VERSIONS_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam {

/// A weight version that the operator announced for a model.
struct announced_version {
    std::uint64_t version{0};
    time_point announced_at; ///< latest possible time of the announcement; assumed: a guess
    /// The version was there when this process started, and no other process told its age.
    bool is_assumed{false};
};

/// Announced versions of each model, the oldest first.
using announced_versions = std::map<std::string, std::vector<announced_version>, std::less<>>;

/// What learning of a version changed.
enum class announcement_change : std::uint8_t {
    none,
    added, ///< the version was not known
    dated  ///< the version was known, and is older than it seemed, or its age was assumed
};

/// @return the newest announced version of a model, 0 for none
std::uint64_t newest_announced(const announced_versions& known, std::string_view model) noexcept;

/// Records a version that the operator's table lists. One that is older than the newest known one
/// is ignored, since a store that was restored may list it.
announcement_change learn_from_table(announced_versions& known, const std::string& model,
                                     const announced_version& listed);

/// Records a version that another process told. An assumed age neither replaces a known one nor
/// makes a version the newest: its process may have started right after the announcement.
announcement_change learn_from_member(announced_versions& known, const std::string& model,
                                      const announced_version& told);

/// @param due time after an announcement within which the weights must be served
/// @return the versions of a model that others need to know: those that are not due yet, and the
/// newest one that is, unless that was long ago
std::vector<announced_version> versions_to_tell(const std::vector<announced_version>& known,
                                                milliseconds due, time_point now);

} // namespace citronseam

#endif
