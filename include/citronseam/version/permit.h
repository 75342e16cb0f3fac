/// @file
/// Permits: rows of the table service that bound how many agents reload their engines at once.
///
/// A permit expires, so that a holder that died does not keep it. A holder that was paused may wake
/// after its permit expired, so it checks the permit again just before the act.
#ifndef CITRONSEAM_VERSION_PERMIT_H
#define CITRONSEAM_VERSION_PERMIT_H

#include <cstdint>
#include <string>
#include <string_view>

#include "citronseam/process/clock.h"
#include "citronseam/process/error.h"

namespace citronseam {

/// Content of a permit's row.
struct permit_record {
    std::string holder;             ///< instance of the agent
    std::string attempt;            ///< unique identifier of the acquisition
    std::uint64_t expires_at_ms{0}; ///< Unix time in milliseconds
};

/// How long a permit lasts without being renewed.
constexpr milliseconds permit_lifetime{30000};
/// Clocks of different instances may differ by this much. A holder stops this much before its
/// permit expires, and others wait this much longer.
constexpr milliseconds clock_margin{2000};

/// @return key of a slot's row
std::string permit_row_name(std::string_view service, std::string_view scope, std::uint32_t slot);
/// @return the row's JSON text
std::string to_json(const permit_record& record);
/// @return the record, or an error when the text is not one
result<permit_record> parse_permit(const std::string& text);

/// @return whether another agent may take the permit over
bool is_permit_free(const permit_record& record, std::uint64_t now_ms) noexcept;
/// @return whether the holder of `attempt` may still act on the permit
bool may_act(const permit_record& record, std::string_view attempt, std::uint64_t now_ms) noexcept;

/// @return engines of a service that may reload at once: at most half, so that a rollout never
/// takes the last warm one
std::uint32_t service_slots(std::size_t members) noexcept;

} // namespace citronseam

#endif
