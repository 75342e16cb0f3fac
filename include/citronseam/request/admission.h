/// @file
/// Adaptive concurrency limit of one backend server, kept by its agent.
///
/// The limit starts at the concurrency that a cold backend server can handle and grows by one for
/// each response that arrives within the expected time, so it doubles in about one round of
/// responses. Any indication that the server is cold resets it to the initial value at once.
#ifndef CITRONSEAM_REQUEST_ADMISSION_H
#define CITRONSEAM_REQUEST_ADMISSION_H

#include <cstdint>
#include <string_view>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Why a backend server is considered cold.
enum class cold_reason : std::uint8_t {
    started,         ///< the agent or the backend server has just started
    reloaded,        ///< a model version was activated
    slow_response,   ///< the first byte took far longer than usual
    overloaded,      ///< the backend server responded that it is overloaded
    connection_lost, ///< the connection to the backend server was lost
    self_reported    ///< the backend server reported itself cold
};
/// @return the name of a reason as written in logs and metrics
std::string_view name(cold_reason reason) noexcept;

/// Bounds of the concurrency limit.
struct admission_bounds {
    std::uint32_t cold_limit{1};
    std::uint32_t max_limit{16};
};

/// State of the concurrency limit.
struct admission_state {
    admission_bounds bounds;
    std::uint32_t limit{1};
    std::uint32_t running{0};
    double average_first_byte_ms{0};   ///< moving average while the server is warm; 0: unknown
    std::uint64_t epoch{0};            ///< number of resets to the cold limit
    std::uint32_t isolated_running{0}; ///< 1 while a request that must run alone is running
};

/// Admission of one request; returned to release() or finish().
struct admission_ticket {
    std::uint64_t epoch{0};
    bool is_isolated{false};
};

/// @return a state whose limit is the cold limit
admission_state make_cold_admission(const admission_bounds& bounds) noexcept;

/// Changes the bounds and clamps the current limit to them.
void set_bounds(admission_state& state, const admission_bounds& bounds) noexcept;

/// @param is_isolated whether the request must run alone because it is suspected of crashing
/// @return whether one more request can be admitted now
bool is_admissible(const admission_state& state, bool is_isolated) noexcept;

/// Admits a request. Call only when is_admissible().
admission_ticket admit(admission_state& state, bool is_isolated) noexcept;

/// Releases an admission without adjusting the limit, for example after a cancellation.
void release(admission_state& state, const admission_ticket& ticket) noexcept;

/// Releases an admission after a complete response and adjusts the limit.
/// @param first_byte time from dispatch to the first byte of the response
/// @return whether the response was so slow that the server is now considered cold
bool finish(admission_state& state, const admission_ticket& ticket,
            milliseconds first_byte) noexcept;

/// Marks the backend server as cold and resets the limit.
void mark_cold(admission_state& state) noexcept;

/// @return whether the limit is at its cold value
bool is_cold(const admission_state& state) noexcept;

} // namespace citronseam

#endif
