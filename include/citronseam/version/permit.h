/// @file
/// Permits: leases in the table service that limit how many agents reload their engines at once.
///
/// A permit expires, so that a crashed holder does not keep it. A holder that was suspended may
/// resume after its permit expired, so it checks the permit again immediately before the reload.
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

/// Time after which a permit expires unless it is renewed.
constexpr milliseconds permit_lifetime{30000};
/// Maximum difference between the clocks of two instances. A holder stops using its permit this
/// long before it expires, and other agents wait this long after it expired.
constexpr milliseconds clock_skew_margin{2000};

/// @return row key of a permit slot
std::string permit_row_key(std::string_view service, std::string_view scope, std::uint32_t slot);
/// @return JSON text of the row
std::string to_json(const permit_record& record);
/// @return the record, or error_code::corrupt if the text is not a valid one
result<permit_record> parse_permit(const std::string& text);

/// @return whether another agent may acquire the permit
bool is_permit_free(const permit_record& record, std::uint64_t now_ms) noexcept;
/// @return whether the agent that acquired the permit as `attempt` may still use it
bool is_permit_valid(const permit_record& record, std::string_view attempt,
                     std::uint64_t now_ms) noexcept;

/// @return number of engines of a service that may reload at once: half of them, at least 1, so
/// that a rollout leaves a warm engine in service if there are two or more
std::uint32_t max_concurrent_reloads(std::size_t members) noexcept;

} // namespace citronseam

#endif
