/// @file
/// Waits for the signals that ask a process to shut down or to reload its settings.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_SHUTDOWN_SIGNAL_H
#define CITRONSEAM_PROGRAMS_DAEMON_SHUTDOWN_SIGNAL_H

#include <cstdint>

namespace citronseam::shutdown_signal {

/// Action that a signal asks for.
enum class event : std::uint8_t {
    shut_down, ///< SIGTERM or SIGINT
    reload     ///< SIGHUP: the settings file changed
};

/// Blocks SIGTERM, SIGINT and SIGHUP for this thread and those it starts later, and ignores
/// SIGPIPE. Call it before any other thread starts.
void block();

/// Waits for one of these signals.
/// @return the action it asks for
event wait();

} // namespace citronseam::shutdown_signal

#endif
