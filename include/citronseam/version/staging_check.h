/// @file
/// Decides whether an engine may be ordered to load its staged chunks.
#ifndef CITRONSEAM_VERSION_STAGING_CHECK_H
#define CITRONSEAM_VERSION_STAGING_CHECK_H

#include <cstdint>

#include "citronseam/process/boot_clock.h"
#include "citronseam/process/clock.h"

namespace citronseam {

/// What was read back from an engine's staging area. An order relies on all of it.
struct staging_check {
    std::uint64_t version{0};            ///< of the weights; 0: nothing was read back
    std::uint64_t engine_incarnation{0}; ///< before the first chunk was read
    boot_clock::time_point started_at;   ///< before the first chunk was read
    boot_clock::time_point ended_at;     ///< after the last chunk was read
};

/// What the loader knows when it is about to send an order.
struct order_conditions {
    std::uint64_t version{0};            ///< of the weights to load
    std::uint64_t engine_incarnation{0}; ///< in the engine's last state
    boot_clock::time_point polled_at;    ///< when the engine's confirmed state was requested
    boot_clock::time_point now;
};

/// What is left to do before an order.
enum class order_permission : std::uint8_t {
    granted,     ///< nothing
    needs_state, ///< read the engine's state: it may have started again during the check
    needs_check  ///< read the staged chunks back
};

/// Chunks may become corrupt in the staging area. An engine may load one that did so less than 3 s
/// before; the rest of that time is for the order's way to the engine.
constexpr milliseconds max_staging_check_age{2000};

/// @return whether the check covers an order under these conditions
order_permission may_order(const staging_check& check, const order_conditions& conditions) noexcept;

} // namespace citronseam

#endif
