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
    budget.max_balance = percent_of_requests == 0 ? 0 : budget.max_balance;
    budget.tokens = budget.max_balance;
    return budget;
}

void credit_request(retry_budget& budget) noexcept {
    budget.tokens = std::min(budget.tokens + budget.per_request, budget.max_balance);
}

bool try_spend(retry_budget& budget) noexcept {
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

milliseconds retry_after(milliseconds expected, random_source& random) noexcept {
    const milliseconds base = std::max(expected, min_retry_delay);
    const auto max_jitter_ms = static_cast<std::uint64_t>(base.count());
    return base + milliseconds(random_below(random, max_jitter_ms + 1));
}

} // namespace citronseam
