/// @file
/// How long a peer has been silent, as far as this process can tell.
#ifndef CITRONSEAM_CONNECTION_PEER_SILENCE_H
#define CITRONSEAM_CONNECTION_PEER_SILENCE_H

#include <optional>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Heartbeat timing of a session.
struct session_timing {
    milliseconds heartbeat_interval{500};
    milliseconds silence_timeout{2000};
    /// The same for a peer whose last bytes waited while this process did not run: they may be as
    /// old as its stop. nullopt: silence_timeout.
    std::optional<milliseconds> confirmation_timeout{};
};

/// When a peer was last heard, and when this process did not run.
struct peer_silence {
    time_point last_heard_at; ///< latest time at which the peer is known to have sent
    time_point last_run_at;   ///< when this process last looked at the session
    time_point stopped_at;    ///< beginning of the last stop; zero: none
    time_point resumed_at;    ///< end of the last stop
};

/// Records that the session's periodic check runs.
void record_check(peer_silence& silence, const session_timing& timing, time_point now) noexcept;

/// Records that bytes of the peer were read. Those that waited while this process did not run do
/// not show that the peer lives now.
void record_receipt(peer_silence& silence, const session_timing& timing, time_point now) noexcept;

/// @return whether the peer counts as lost
bool is_peer_lost(const peer_silence& silence, const session_timing& timing,
                  time_point now) noexcept;

} // namespace citronseam

#endif
