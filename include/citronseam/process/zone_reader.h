/// @file
/// Choice of the process that reads a table of the store for its availability zone.
#ifndef CITRONSEAM_PROCESS_ZONE_READER_H
#define CITRONSEAM_PROCESS_ZONE_READER_H

#include <cstddef>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Another process of the zone that may read the table.
struct reader_candidate {
    std::string_view instance;
    time_point last_read_at; ///< when its number of successful reads was last seen to increase
};

/// How a zone's readers are chosen.
struct reader_policy {
    std::size_t readers{1};      ///< number of processes that read at a time
    milliseconds max_silence{0}; ///< a process without a successful read for longer is not reading
    /// Added for each further process that is to take over first, so that slow reads of one process
    /// do not make all others read at once.
    milliseconds takeover_step{300};
};

/// Chooses the processes with the lowest instance names among those whose reads succeed. Whether
/// reads succeed does not follow from the version of the table, which stands still while nothing is
/// written.
/// @param self   instance name of this process
/// @param others the other candidates of the zone
/// @return whether this process reads for the zone
bool is_zone_reader(std::string_view self, const std::vector<reader_candidate>& others,
                    const reader_policy& policy, time_point now) noexcept;

} // namespace citronseam

#endif
