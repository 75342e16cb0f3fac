#include "citronseam/request/retry_budget.h"

#include <algorithm>

namespace citronseam {
namespace {

constexpr double fraction_per_percent = 0.01;
constexpr milliseconds min_retry_delay{100};

} // namespace

retry_budget make_retry_budget(std::uint32_t percent_of_requests) noexcept {
    retry_budget budget;
    budget.per_request = fraction_per_percent * percent_of_requests;
    budget.most = percent_of_requests == 0 ? 0 : budget.most;
    budget.tokens = budget.most;
    return budget;
}

void earn(retry_budget& budget) noexcept {
    budget.tokens = std::min(budget.tokens + budget.per_request, budget.most);
}

bool spend(retry_budget& budget) noexcept {
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

milliseconds retry_after(milliseconds expected, random_source& random) noexcept {
    const milliseconds base = std::max(expected, min_retry_delay);
    const auto max_jitter_ms = static_cast<std::uint64_t>(base.count());
    return base + milliseconds(below(random, max_jitter_ms + 1));
}

} // namespace citronseam
