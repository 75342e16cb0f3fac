#include "citronseam/request/admission.h"

#include <algorithm>

#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<cold_reason>, 6> reason_names{{
    {cold_reason::started, "started"},
    {cold_reason::reloaded, "reloaded"},
    {cold_reason::slow_response, "slow_answer"},
    {cold_reason::overloaded, "overloaded"},
    {cold_reason::connection_lost, "lost"},
    {cold_reason::self_reported, "said_so"},
}};

/// A first byte this many times slower than the average means that the server is cold.
constexpr double slow_factor = 4.0;
/// Below this, clock resolution and scheduling delays dominate the server's response time.
constexpr double min_slow_first_byte_ms = 200.0;
/// Weight of one response in the moving average.
constexpr double moving_average_weight = 0.1;

} // namespace

std::string_view name(cold_reason reason) noexcept {
    return find_name(reason_names, reason);
}

admission_state make_cold_admission(const admission_bounds& bounds) noexcept {
    admission_state state;
    state.bounds = bounds;
    state.limit = bounds.cold_limit;
    return state;
}

void set_bounds(admission_state& state, const admission_bounds& bounds) noexcept {
    state.bounds = bounds;
    state.limit = std::clamp(state.limit, bounds.cold_limit, bounds.max_limit);
}

bool is_admissible(const admission_state& state, bool is_isolated) noexcept {
    if (state.isolated_running > 0) {
        return false;
    }
    if (is_isolated) {
        return state.running == 0;
    }
    return state.running < state.limit;
}

admission_ticket admit(admission_state& state, bool is_isolated) noexcept {
    ++state.running;
    state.isolated_running += is_isolated ? 1 : 0;
    return {state.epoch, is_isolated};
}

void release(admission_state& state, const admission_ticket& ticket) noexcept {
    state.running -= state.running > 0 ? 1 : 0;
    if (ticket.is_isolated) {
        state.isolated_running = 0;
    }
}

bool finish(admission_state& state, const admission_ticket& ticket,
            milliseconds first_byte) noexcept {
    release(state, ticket);
    // A request admitted before the last reset says nothing about the server after it.
    if (ticket.epoch != state.epoch) {
        return false;
    }
    const auto first_byte_ms = static_cast<double>(first_byte.count());
    const double average_ms = state.average_first_byte_ms;
    if (average_ms > 0 && first_byte_ms > min_slow_first_byte_ms &&
        first_byte_ms > slow_factor * average_ms) {
        mark_cold(state);
        return true;
    }
    state.average_first_byte_ms =
        average_ms > 0 ? average_ms + moving_average_weight * (first_byte_ms - average_ms)
                       : std::max(first_byte_ms, 1.0);
    state.limit = std::min(state.limit + 1, state.bounds.max_limit);
    return false;
}

void mark_cold(admission_state& state) noexcept {
    ++state.epoch;
    state.limit = state.bounds.cold_limit;
    // A cold server is slow by nature, so the average is measured again.
    state.average_first_byte_ms = 0;
}

bool is_cold(const admission_state& state) noexcept {
    return state.limit == state.bounds.cold_limit && state.bounds.max_limit > state.limit;
}

} // namespace citronseam
