#include "citronseam/request/attempt_move.h"

#include <array>

#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<move_decision>, 3> decision_names{{
    {move_decision::undecided, "undecided"},
    {move_decision::first, "first"},
    {move_decision::second, "second"},
}};

/// For the interval between two decisions, and the way of the event to the caller.
constexpr milliseconds release_margin{60};

bool is_pause_over(const move_state& state, time_point now) noexcept {
    return state.max_pause > milliseconds(0) &&
           now - state.last_forwarded_at >= state.max_pause - release_margin;
}

} // namespace

std::string_view name(move_decision decision) noexcept {
    return find_name(decision_names, decision);
}

move_decision decide_move(const move_state& state, time_point now) noexcept {
    if (state.second == attempt_progress::failed || state.first == attempt_progress::complete) {
        return move_decision::first;
    }
    if (state.first == attempt_progress::failed || state.second == attempt_progress::complete) {
        return move_decision::second;
    }
    if (!state.is_stream) {
        return move_decision::undecided;
    }
    if (state.second == attempt_progress::begun) {
        return move_decision::second;
    }
    const bool may_release = !state.has_forwarded || is_pause_over(state, now);
    return state.first == attempt_progress::begun && may_release ? move_decision::first
                                                                 : move_decision::undecided;
}

} // namespace citronseam
