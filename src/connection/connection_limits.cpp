#include "citronseam/connection/connection_limits.h"

namespace citronseam {

time_verdict judge_time(connection_phase phase, milliseconds since,
                        const connection_limits& limits) noexcept {
    if (phase == connection_phase::answering) {
        return time_verdict::keep;
    }
    const milliseconds longest =
        phase == connection_phase::head ? limits.head_time : limits.idle_time;
    if (longest.count() == 0 || since < longest) {
        return time_verdict::keep;
    }
    return phase == connection_phase::idle ? time_verdict::close : time_verdict::refuse;
}

} // namespace citronseam
