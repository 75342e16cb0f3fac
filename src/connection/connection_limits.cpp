#include "citronseam/connection/connection_limits.h"

namespace citronseam {

timeout_action choose_timeout_action(connection_phase phase, milliseconds since,
                                     const connection_limits& limits) noexcept {
    if (phase == connection_phase::responding) {
        return timeout_action::keep;
    }
    const milliseconds limit =
        phase == connection_phase::head ? limits.head_timeout : limits.idle_timeout;
    if (limit.count() == 0 || since < limit) {
        return timeout_action::keep;
    }
    return phase == connection_phase::idle ? timeout_action::close : timeout_action::refuse;
}

} // namespace citronseam
