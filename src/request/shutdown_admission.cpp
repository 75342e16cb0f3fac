#include "citronseam/request/shutdown_admission.h"

namespace citronseam {

bool may_take(time_point now, std::optional<time_point> leaves_at,
              milliseconds longest_duration) noexcept {
    return !leaves_at || now + longest_duration < *leaves_at;
}

} // namespace citronseam
