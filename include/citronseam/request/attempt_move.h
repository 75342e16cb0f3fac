/// @file
/// Decides which of two attempts goes on while a request moves to another server.
#ifndef CITRONSEAM_REQUEST_ATTEMPT_MOVE_H
#define CITRONSEAM_REQUEST_ATTEMPT_MOVE_H

#include <cstdint>
#include <string_view>

#include "citronseam/process/clock.h"

namespace citronseam {

/// What has arrived of the response to an attempt.
enum class attempt_progress : std::uint8_t {
    silent,   ///< nothing that can be forwarded
    begun,    ///< an event or more
    complete, ///< the whole response
    failed    ///< it ended without a usable response
};

/// Which attempt goes on.
enum class move_decision : std::uint8_t { undecided, first, second };
/// @return the name of a decision as written in logs
std::string_view name(move_decision decision) noexcept;

/// A request that was sent to a second server while the first one may still answer it.
struct move_state {
    attempt_progress first{attempt_progress::silent};  ///< since the move began
    attempt_progress second{attempt_progress::silent}; ///< of the attempt at the other server
    bool is_stream{false};                             ///< the response is forwarded event by event
    bool has_forwarded{false}; ///< the caller has events of the first attempt; later ones are held
    time_point last_forwarded_at; ///< when the caller was sent an event
    milliseconds max_pause{0};    ///< longest pause between events; 0: not limited
};

/// Decides which attempt goes on. The second one goes on once it has answered: until then, the
/// first one is the only one that is sure to. Events of the first one are held meanwhile, so that
/// the second one continues exactly where it was asked to, but no longer than the longest pause.
move_decision decide_move(const move_state& state, time_point now) noexcept;

} // namespace citronseam

#endif
