/// @file
/// One process's share of a bound on repeated requests that holds over all processes.
#ifndef CITRONSEAM_REQUEST_SHARED_RETRY_BUDGET_H
#define CITRONSEAM_REQUEST_SHARED_RETRY_BUDGET_H

#include "citronseam/process/clock.h"
#include "citronseam/request/sliding_window_counter.h"

namespace citronseam {

/// The bound over all processes, for each service: within any window, at most
/// `ratio` x requests + `slack` arrivals at backend servers beyond the first of a request.
struct retry_bound {
    double ratio{0.1};
    double slack{10};
    milliseconds window{10000};
};

/// Requests and repeats of one service at this process.
struct shared_retry_budget {
    sliding_count requests;
    sliding_count repeats;
};

/// Notes a request of a caller.
void note_request(shared_retry_budget& budget, const retry_bound& bound, time_point now);

/// Takes leave for one repeat.
/// @param sharers processes that share the bound
/// @return false when this process's share is spent
bool take_repeat(shared_retry_budget& budget, const retry_bound& bound, std::size_t sharers,
                 time_point now);

} // namespace citronseam

#endif
