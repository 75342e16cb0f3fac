#include "citronseam/version/fetch_order.h"

namespace citronseam {
namespace {

/// A version with more remaining time than this is abandoned for a newer one, which can then still
/// be complete when it is due.
constexpr milliseconds max_time_to_finish{3000};

} // namespace

bool should_finish_before_newer(const fetch_order_params& params) noexcept {
    const bool is_past_deadline = params.now - params.announced_at > params.switch_deadline;
    return !is_past_deadline && params.is_fetching && params.remaining_time <= max_time_to_finish;
}

} // namespace citronseam
