#include "citronseam/version/staging_check.h"

namespace citronseam {

order_permission may_order(const staging_check& check,
                           const order_conditions& conditions) noexcept {
    const bool is_same_subject = check.version != 0 && check.version == conditions.version &&
                                 check.engine_incarnation == conditions.engine_incarnation;
    // The oldest reading counts.
    if (!is_same_subject || conditions.now - check.started_at > max_staging_check_age) {
        return order_permission::needs_check;
    }
    return conditions.polled_at < check.ended_at ? order_permission::needs_state
                                                 : order_permission::granted;
}

} // namespace citronseam
