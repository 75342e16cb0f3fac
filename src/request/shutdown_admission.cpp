#include "citronseam/request/shutdown_admission.h"

namespace citronseam {

bool may_take(time_point now, std::optional<time_point> exits_at,
              milliseconds longest_duration) noexcept {
    return !exits_at || now + longest_duration < *exits_at;
}

} // namespace citronseam
