#include "citronseam/process/zone_reader.h"

#include <algorithm>

namespace citronseam {
namespace {

/// The reader reads every 400 ms and reports it every 500 ms.
constexpr milliseconds max_read_silence{1300};

} // namespace

bool is_zone_reader(std::string_view self, const std::vector<reader_candidate>& others,
                    time_point now) noexcept {
    return std::none_of(others.begin(), others.end(), [&](const reader_candidate& other) {
        return other.instance < self && now - other.last_read_at <= max_read_silence;
    });
}

} // namespace citronseam
