/// @file
/// Requests that were given up while their backend server was silent.
///
/// A server that crashes need not close its connections: its machine may be without power or cut
/// off. Such a server looks like a slow one until the store drops its entry, although it never said
/// that it drains. What was given up at it until then may have crashed it. A server that was heard
/// of after an attempt was given up was slow.
#ifndef CITRONSEAM_REQUEST_SILENT_ATTEMPTS_H
#define CITRONSEAM_REQUEST_SILENT_ATTEMPTS_H

#include <optional>
#include <vector>

#include "citronseam/request/crash_attribution.h"

namespace citronseam {

/// A server that is silent for less than this after it was sent a request may just be busy.
inline constexpr milliseconds min_silence{300};

/// An attempt that was given up.
struct silent_attempt {
    lost_server server;
    crash_suspect suspect;
    time_point given_up_at;
    /// When the server was last known to be alive: it sent something, or accepted the connection.
    time_point alive_at;
};

/// A server whose entry is gone.
struct gone_server {
    lost_server server;
    time_point gone_at;
};

/// What one process knows of silent servers.
struct silent_servers {
    std::vector<silent_attempt> attempts; ///< oldest first
    std::vector<gone_server> gone;        ///< oldest first
};

/// Adds an attempt.
/// @return the loss of the server, if its entry is gone by now
std::optional<server_crash> add_silent_attempt(silent_servers& state,
                                               const silent_attempt& attempt);

/// Records that a server's entry is gone although the server did not say that it drains.
/// @return the loss of the server, if an attempt was given up at it
std::optional<server_crash> record_gone(silent_servers& state, const lost_server& server,
                                        time_point now);

/// Records that a server is alive: its attempts were not given up because of a crash.
void record_life(silent_servers& state, const lost_server& server);

/// Records that a server's entry is back.
void forget_gone(silent_servers& state, const lost_server& server);

/// Clears traits of suspicion, as clear_traits() does for servers that are known to be lost.
void clear_silent_traits(silent_servers& state, const std::vector<std::uint64_t>& traits);

} // namespace citronseam

#endif
