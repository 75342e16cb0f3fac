/// @file
/// Bounds the share of retries, so that failing backend servers do not multiply the load.
#ifndef CITRONSEAM_REQUEST_RETRY_BUDGET_H
#define CITRONSEAM_REQUEST_RETRY_BUDGET_H

#include <cstdint>

#include "citronseam/process/clock.h"
#include "citronseam/process/random.h"

namespace citronseam {

/// Tokens for retries of one service at one entry.
struct retry_budget {
    double tokens{10};
    double per_request{0.1}; ///< tokens that each new request earns
    double most{10};         ///< tokens kept at most
};

/// @param percent retries allowed per hundred requests
retry_budget make_retry_budget(std::uint32_t percent) noexcept;

/// Credits one new request.
void earn(retry_budget& budget) noexcept;

/// Takes the token of one retry.
/// @return false when the budget is spent
bool spend(retry_budget& budget) noexcept;

/// Time after which a refused caller should come back. The spread keeps callers that were refused
/// together from returning together.
/// @param expected time until capacity is expected
/// @return between one and two times `expected`, at least 100 ms
milliseconds retry_after(milliseconds expected, random_source& random) noexcept;

} // namespace citronseam

#endif
