#include "citronseam/version/fetch_order.h"

#include <algorithm>

namespace citronseam {
namespace {

/// A version is only worth finishing after this fraction of the fetch duration. Before, hardly any
/// chunks are discarded by turning to the newer one.
constexpr int min_fetched_divisor = 4;

} // namespace

bool should_finish_before_newer(const planned_fetch& older, time_point newer_announced,
                                const fetch_order_params& params) noexcept {
    if (older.is_initial ||
        newer_announced < older.starts_at + params.fetch_duration / min_fetched_divisor) {
        return false;
    }
    const time_point older_complete = older.starts_at + params.fetch_duration;
    const time_point newer_complete =
        std::max(older_complete, newer_announced) + params.fetch_duration;
    const milliseconds time_to_complete = params.switch_deadline - params.load_duration;
    return older_complete <= older.announced_at + time_to_complete &&
           newer_complete <= newer_announced + time_to_complete;
}

void add_to_plan(std::vector<planned_fetch>& plan, std::uint64_t version, time_point announced_at,
                 const fetch_order_params& params) {
    const bool is_initial = plan.empty();
    std::erase_if(plan, [announced_at](const planned_fetch& planned) {
        return planned.ends_at <= announced_at;
    });
    // A version that was worth finishing before an earlier one is worth it before this one.
    if (!plan.empty() && !should_finish_before_newer(plan.back(), announced_at, params)) {
        plan.pop_back();
    }
    planned_fetch added{version, announced_at, announced_at, time_point::max(), is_initial};
    if (!plan.empty()) {
        planned_fetch& older = plan.back();
        added.starts_at = std::max(announced_at, older.starts_at + params.fetch_duration);
        older.ends_at = older.announced_at + params.switch_deadline - params.load_duration;
    }
    plan.push_back(added);
}

void correct_plan(std::vector<planned_fetch>& plan, std::uint64_t version,
                  time_point announced_at) noexcept {
    for (planned_fetch& planned : plan) {
        if (planned.version != version) {
            continue;
        }
        if (planned.ends_at != time_point::max()) {
            planned.ends_at += announced_at - planned.announced_at;
        }
        planned.announced_at = announced_at;
    }
}

const planned_fetch* find_current_fetch(const std::vector<planned_fetch>& plan,
                                        std::uint64_t minimum, time_point now) noexcept {
    const auto found =
        std::find_if(plan.begin(), plan.end(), [minimum, now](const planned_fetch& planned) {
            return planned.version >= minimum && now < planned.ends_at;
        });
    return found == plan.end() ? nullptr : &*found;
}

} // namespace citronseam
