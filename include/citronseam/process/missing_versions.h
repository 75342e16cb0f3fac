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

/// The state of the own copy.
struct copy_state {
    std::uint64_t version{0};
    time_point read_begun_at; ///< beginning of the newest read of the store that succeeded
};

/// Drops what the copy covers by now and what a later read of the store did not show, and adds what
/// is new. A version counts although the process that announced it is lost: it is in the store.
/// @param announced newest version that a connected process announces, 0: none
void update_missing_versions(missing_versions& missing, const copy_state& own,
                             std::uint64_t announced, time_point now);

/// @return since when the copy is known to be outdated; nullopt: it is not
std::optional<time_point> missing_since(const missing_versions& missing) noexcept;

} // namespace citronseam

#endif
