#include "citronseam/version/staging_check.h"

namespace citronseam {

order_permission may_order(const staging_check& check,
                           const order_conditions& conditions) noexcept {
    // The oldest reading counts.
    const bool is_valid = check.version != 0 && check.version == conditions.version &&
                          conditions.now - check.started_at <= max_staging_check_age;
    return is_valid ? order_permission::granted : order_permission::needs_check;
}

} // namespace citronseam
