#include "citronseam/request/shared_retry_budget.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Fraction of the limit that is used. The rest covers requests that the processes count at
/// different times.
constexpr double bound_utilization = 0.8;

} // namespace

void record_request(shared_retry_budget& budget, const retry_bound& bound, time_point now) {
    count_recent(budget.requests, now, bound.window);
    add_event(budget.requests, now);
}

bool try_spend_retry(shared_retry_budget& budget, const retry_bound& bound,
                     std::size_t process_count, time_point now) {
    const auto requests = static_cast<double>(count_recent(budget.requests, now, bound.window));
    const auto retries = static_cast<double>(count_recent(budget.retries, now, bound.window));
    const auto process_divisor = static_cast<double>(std::max<std::size_t>(process_count, 1));
    const double allowed =
        bound_utilization * (bound.ratio * requests + bound.slack / process_divisor);
    if (retries + 1 > allowed) {
        return false;
    }
    add_event(budget.retries, now);
    return true;
}

} // namespace citronseam
