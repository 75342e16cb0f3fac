/// @file
/// When an engine puts new weights in force, so that not all engines of a service do so at once.
#ifndef CITRONSEAM_VERSION_LOAD_SCHEDULE_H
#define CITRONSEAM_VERSION_LOAD_SCHEDULE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam {

/// What the turn depends on.
struct load_turn_terms {
    time_point named_at;  ///< when the weights were named
    time_point whole_at;  ///< when this engine had all pieces
    milliseconds due{0};  ///< time from naming until the last engine must begin to load
    std::size_t index{0}; ///< place of this engine among those of the service
    std::size_t count{1}; ///< engines of the service
};

/// @return when to order the load. Turns are spread evenly over the time that is left; with none
/// left it is whole_at.
time_point load_moment(const load_turn_terms& terms) noexcept;

/// @return place of an instance in an order that all processes agree on and that differs for each
/// version, so that no engine is always the last
std::size_t turn_of(std::string_view version, std::string_view self,
                    const std::vector<std::string>& instances);

} // namespace citronseam

#endif
