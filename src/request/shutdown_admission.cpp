#include "citronseam/request/shutdown_admission.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Requests that are open are ended this long before the process is killed, so that their callers
/// get a final answer.
constexpr milliseconds open_margin{1000};
/// The process exits this long before it is killed.
constexpr milliseconds exit_margin{300};
/// A later request must not be broken off, not even while its server works on it.
constexpr milliseconds estimate_time{3000};

} // namespace

shutdown_plan plan_shutdown(time_point started_at, milliseconds grace_period) noexcept {
    shutdown_plan plan;
    plan.exits_at = started_at + std::max(grace_period - exit_margin, milliseconds(0));
    plan.open_until = started_at + std::max(grace_period - open_margin, milliseconds(0));
    plan.estimates_until = std::min(started_at + estimate_time, plan.open_until);
    return plan;
}

bool can_finish_before_exit(time_point now, const std::optional<shutdown_plan>& plan,
                            const request_duration& duration) noexcept {
    if (!plan || now + duration.longest < plan->open_until) {
        return true;
    }
    return duration.is_retryable && now < plan->estimates_until &&
           now + duration.expected < plan->open_until;
}

} // namespace citronseam
