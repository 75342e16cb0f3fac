/// @file
/// Limits the fraction of retries, so that failing backend servers do not multiply the load.
#ifndef CITRONSEAM_REQUEST_RETRY_BUDGET_H
#define CITRONSEAM_REQUEST_RETRY_BUDGET_H

#include <cstdint>

#include "citronseam/process/clock.h"
#include "citronseam/process/random.h"

namespace citronseam {

/// Token bucket for the retries of one service at one entry process.
struct retry_budget {
    double tokens{10};
    double per_request{0.1}; ///< tokens added for each new request
    double max_balance{10};  ///< capacity of the bucket
};

/// @param percent_of_requests retries allowed per hundred requests
retry_budget make_retry_budget(std::uint32_t percent_of_requests) noexcept;

/// Adds the tokens of one new request.
void credit_request(retry_budget& budget) noexcept;

/// Spends one token for a retry.
/// @return false when the budget is exhausted
bool try_spend(retry_budget& budget) noexcept;

/// Time after which a refused caller should retry. Random jitter keeps callers that were refused
/// together from retrying together.
/// @param expected expected time until there is capacity
/// @return between one and two times `expected`, at least 100 ms
milliseconds retry_after(milliseconds expected, random_source& random) noexcept;

} // namespace citronseam

#endif
