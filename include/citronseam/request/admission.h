/// @file
/// Cold-start limit of one backend server, held by its agent.
///
/// The limit starts at what a cold backend server bears and grows by one for each answer that came
/// within the expected time, so that it doubles in about one round of answers. Any sign that the
/// server is cold sets it back to the start at once.
#ifndef CITRONSEAM_REQUEST_ADMISSION_H
#define CITRONSEAM_REQUEST_ADMISSION_H

#include <cstdint>
#include <string_view>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Why a backend server is taken to be cold.
enum class cold_sign : std::uint8_t {
    started,     ///< the agent or the backend server has just started
    reloaded,    ///< a model version was put in force
    slow_answer, ///< the first byte took far longer than usual
    overloaded,  ///< the backend server answered that it is overloaded
    lost,        ///< the connection to the backend server broke
    said_so      ///< the backend server reported itself cold
};
/// @return the name of a sign as written in logs and metrics
std::string_view name(cold_sign sign) noexcept;

/// Bounds of a limit.
struct admission_bounds {
    std::uint32_t cold_limit{1};
    std::uint32_t max_limit{16};
};

/// State of a limit.
struct admission_state {
    admission_bounds bounds;
    std::uint32_t limit{1};
    std::uint32_t running{0};
    double usual_first_byte_ms{0}; ///< moving average over answers of a warm server; 0 when unknown
    std::uint64_t epoch{0};        ///< counts the cold signs
    std::uint32_t isolated{0};     ///< 1 while a request runs that must be alone
};

/// A place taken by one request.
struct admission_ticket {
    std::uint64_t epoch{0};
    bool is_isolated{false};
};

/// @return a state whose limit is the cold limit
admission_state cold_admission(const admission_bounds& bounds) noexcept;

/// Changes the bounds; a limit above the new bound is cut, one below stays.
void set_bounds(admission_state& state, const admission_bounds& bounds) noexcept;

/// @param is_isolated whether the request must run alone because it is suspected of crashing
/// @return whether one more request fits now
bool is_admissible(const admission_state& state, bool is_isolated) noexcept;

/// Takes a place. Call only when is_admissible().
admission_ticket admit(admission_state& state, bool is_isolated) noexcept;

/// Gives a place back without evidence, as when a request was cancelled.
void release(admission_state& state, const admission_ticket& ticket) noexcept;

/// Gives a place back after a whole answer.
/// @param first_byte time from dispatch to the first byte of the answer
/// @return whether the answer was so slow that it was taken as a sign of cold
bool finish(admission_state& state, const admission_ticket& ticket,
            milliseconds first_byte) noexcept;

/// Takes the backend server as cold from now on.
void turn_cold(admission_state& state) noexcept;

/// @return whether the limit stands at its cold value
bool is_cold(const admission_state& state) noexcept;

} // namespace citronseam

#endif
