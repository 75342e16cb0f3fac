#include "citronseam/process/zone_reader.h"

#include <algorithm>

namespace citronseam {
namespace {

/// The reader reads every 400 ms and reports it every 500 ms.
constexpr milliseconds max_read_silence{1300};
/// Added for each further process that is to take over first, so that slow reads of one process do
/// not make all others read at once.
constexpr milliseconds takeover_step{300};

} // namespace

bool is_zone_reader(std::string_view self, const std::vector<reader_candidate>& others,
                    time_point now) noexcept {
    const auto precedes = [self](const reader_candidate& other) { return other.instance < self; };
    const auto preceding = std::count_if(others.begin(), others.end(), precedes);
    const auto max_silence = max_read_silence + takeover_step * std::max<long>(preceding - 1, 0);
    return std::none_of(others.begin(), others.end(), [&](const reader_candidate& other) {
        return precedes(other) && now - other.last_read_at <= max_silence;
    });
}

} // namespace citronseam
