/// @file
/// A cause of crashes as it is kept in the platform's store, for gateways that start when no other
/// one knows it any more.
#ifndef CITRONSEAM_REQUEST_CRASH_CAUSE_H
#define CITRONSEAM_REQUEST_CRASH_CAUSE_H

#include <cstdint>
#include <string>

#include "citronseam/process/error.h"
#include "citronseam/request/crash_attribution.h"

namespace citronseam {

/// Traits of requests that are refused.
struct crash_cause {
    trait_set traits;
    std::uint64_t refused_until_ms{0}; ///< Unix time
};

/// @return the key of a cause's row. Causes share a fixed number of keys, so that the table does
/// not grow; of two with one key the later one is kept.
std::string crash_cause_key(const trait_set& traits);

/// @return the value of a cause's row
std::string to_json(const crash_cause& cause);

/// @return the cause in a row, or an error if the row cannot be read
result<crash_cause> parse_crash_cause(const std::string& text);

} // namespace citronseam

#endif
