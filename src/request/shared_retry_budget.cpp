#include "citronseam/request/shared_retry_budget.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Part of the bound that is used. The rest covers requests that the processes' windows see at
/// different moments.
constexpr double used_part = 0.8;

} // namespace

void note_request(shared_retry_budget& budget, const retry_bound& bound, time_point now) {
    count_recent(budget.requests, now, bound.window);
    add_event(budget.requests, now);
}

bool take_repeat(shared_retry_budget& budget, const retry_bound& bound, std::size_t sharers,
                 time_point now) {
    const auto requests = static_cast<double>(count_recent(budget.requests, now, bound.window));
    const auto repeats = static_cast<double>(count_recent(budget.repeats, now, bound.window));
    const auto share = static_cast<double>(std::max<std::size_t>(sharers, 1));
    const double allowed = used_part * (bound.ratio * requests + bound.slack / share);
    if (repeats + 1 > allowed) {
        return false;
    }
    add_event(budget.repeats, now);
    return true;
}

} // namespace citronseam
