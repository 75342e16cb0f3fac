/// @file
/// A monotonic clock that counts the time during which the machine is suspended.
#ifndef CITRONSEAM_PROCESS_BOOT_CLOCK_H
#define CITRONSEAM_PROCESS_BOOT_CLOCK_H

#include <chrono>

#include <ctime>

namespace citronseam {

/// Meets the requirements of a standard clock. The steady clock stands still during a suspension.
class boot_clock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept {
        timespec value{};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) +
                          std::chrono::nanoseconds(value.tv_nsec));
    }
};

} // namespace citronseam

#endif
