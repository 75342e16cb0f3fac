#include "citronseam/process/clock.h"

#include <limits>

namespace citronseam {

std::uint32_t elapsed_ms(time_point from, time_point to) noexcept {
    if (to <= from) {
        return 0;
    }
    const auto count = std::chrono::duration_cast<milliseconds>(to - from).count();
    constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
    return count > largest ? largest : static_cast<std::uint32_t>(count);
}

std::uint64_t wall_clock_ms() noexcept {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace citronseam
