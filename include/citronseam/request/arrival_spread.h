/// @file
/// Spreads the requests of several processes that choose from the same old load reports.
///
/// Until a report is renewed, each process that takes the server of the lowest cost takes the same
/// one, which then gets all requests of that time (herd behaviour). Here each process computes how
/// all requests of that time would be placed one after another, and takes a server with the
/// probability of its part (load interpretation; Dahlin, "Interpreting Stale Load Information",
/// 1999). Performs no I/O.
#ifndef CITRONSEAM_REQUEST_ARRIVAL_SPREAD_H
#define CITRONSEAM_REQUEST_ARRIVAL_SPREAD_H

#include <cstddef>
#include <vector>

#include "citronseam/process/random.h"

namespace citronseam {

/// A server that may take requests.
struct spread_candidate {
    double cost_ms{0};    ///< of the next request there: expected wait and penalties
    double free_slots{0}; ///< requests that start without waiting for another one to end
    double room{0};       ///< requests that it may take in all
};

/// What further requests at a server cost.
struct spread_costs {
    double per_started_ms{0}; ///< each request in a free slot delays the next one by this
    double per_waiting_ms{0}; ///< each request beyond the free slots
};

/// Places requests on the servers of the lowest cost, which rises with each request.
/// @param requests in all, also fractions of one; no more are placed than there is room for
/// @return requests for each candidate, in their order
std::vector<double> place_requests(const std::vector<spread_candidate>& candidates,
                                   const spread_costs& costs, double requests);

/// Chooses a candidate with the probability of its part of the requests that are expected.
/// @param expected_requests of all processes until reports are renewed
/// @return index of the candidate; the one of the lowest cost if no requests are expected
/// @pre candidates is not empty
std::size_t choose_by_arrivals(const std::vector<spread_candidate>& candidates,
                               const spread_costs& costs, double expected_requests,
                               random_source& random);

} // namespace citronseam

#endif
