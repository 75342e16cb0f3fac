/// @file
/// Staggers the loading of new weights, so that the engines of a service do not all load at once.
#ifndef CITRONSEAM_VERSION_LOAD_SCHEDULE_H
#define CITRONSEAM_VERSION_LOAD_SCHEDULE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Parameters of scheduled_load_time().
struct load_schedule_params {
    time_point announced_at;     ///< when the operator announced the weights
    time_point complete_at;      ///< when all chunks for this engine were fetched
    milliseconds load_window{0}; ///< from announced_at until the last engine must start loading
    std::size_t index{0};        ///< position of this engine in the order of loads, from 0
    std::size_t count{1};        ///< engines of the service
};

/// @return when to order the load. The loads are spread evenly over the time that is left; with
/// none left it is complete_at.
time_point scheduled_load_time(const load_schedule_params& params) noexcept;

/// @return position of an instance in the order of loads. All processes compute the same order; it
/// differs between versions, so that no engine is always last.
std::size_t load_order_index(std::string_view version, std::string_view self,
                             const std::vector<std::string>& instances);

} // namespace citronseam

#endif
