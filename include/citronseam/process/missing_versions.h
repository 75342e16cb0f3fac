/// @file
/// Versions of a table that other processes announce and the own copy lacks.
#ifndef CITRONSEAM_PROCESS_MISSING_VERSIONS_H
#define CITRONSEAM_PROCESS_MISSING_VERSIONS_H

#include <cstdint>
#include <optional>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam {

/// A version that another process announced.
struct version_announcement {
    std::uint64_t version{0};
    time_point heard_at; ///< first
};

/// Announcements that the own copy does not cover, the oldest first. Each has its own time, so a
/// copy that follows a series of changes at a short distance is not taken for one that stands
/// still.
using missing_versions = std::vector<version_announcement>;

/// Drops what the copy covers by now or no process announces any more, and adds what is new.
/// @param own       version of the copy
/// @param announced newest version that a connected process announces, 0: none
void update_missing_versions(missing_versions& missing, std::uint64_t own, std::uint64_t announced,
                             time_point now);

/// @return since when the copy is known to be outdated; nullopt: it is not
std::optional<time_point> missing_since(const missing_versions& missing) noexcept;

} // namespace citronseam

#endif
