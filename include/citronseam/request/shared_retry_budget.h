/// @file
/// One process's share of a limit on retries that applies to all processes together.
#ifndef CITRONSEAM_REQUEST_SHARED_RETRY_BUDGET_H
#define CITRONSEAM_REQUEST_SHARED_RETRY_BUDGET_H

#include "citronseam/process/clock.h"
#include "citronseam/request/sliding_window_counter.h"

namespace citronseam {

/// The limit over all processes, for each service: within any window, backend servers receive at
/// most `ratio` x requests + `slack` retries, that is, arrivals beyond the first of a request.
struct retry_bound {
    double ratio{0.1};
    double slack{10};
    milliseconds window{10000};
};

/// Requests and retries of one service at this process.
struct shared_retry_budget {
    sliding_window_counter requests;
    sliding_window_counter retries;
};

/// Records a request of a caller.
void record_request(shared_retry_budget& budget, const retry_bound& bound, time_point now);

/// Spends one retry of the budget.
/// @param process_count processes that share the limit
/// @return false when this process's share is exhausted
bool try_spend_retry(shared_retry_budget& budget, const retry_bound& bound,
                     std::size_t process_count, time_point now);

} // namespace citronseam

#endif
