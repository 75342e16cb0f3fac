#include "citronseam/process/zone_reader.h"

#include <algorithm>

namespace citronseam {

bool is_zone_reader(std::string_view self, const std::vector<reader_candidate>& others,
                    const reader_policy& policy, time_point now) noexcept {
    const auto precedes = [self](const reader_candidate& other) { return other.instance < self; };
    const auto preceding =
        static_cast<std::size_t>(std::count_if(others.begin(), others.end(), precedes));
    if (preceding < policy.readers) {
        return true;
    }
    const auto max_silence =
        policy.max_silence + policy.takeover_step * (preceding - policy.readers);
    const auto reading =
        std::count_if(others.begin(), others.end(), [&](const reader_candidate& other) {
            return precedes(other) && now - other.last_read_at <= max_silence;
        });
    return static_cast<std::size_t>(reading) < policy.readers;
}

} // namespace citronseam
