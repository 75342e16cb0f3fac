#include "citronseam/request/shutdown_admission.h"

namespace citronseam {

bool can_finish_before_exit(time_point now, std::optional<time_point> exits_at,
                            milliseconds longest_duration) noexcept {
    return !exits_at || now + longest_duration < *exits_at;
}

} // namespace citronseam
