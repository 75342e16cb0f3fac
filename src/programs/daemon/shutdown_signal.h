/// @file
/// Waits for the signal that asks a process to leave.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_SHUTDOWN_SIGNAL_H
#define CITRONSEAM_PROGRAMS_DAEMON_SHUTDOWN_SIGNAL_H

namespace citronseam::shutdown_signal {

/// Blocks SIGTERM and SIGINT for this thread and those it starts later, and ignores SIGPIPE.
/// Call it before any other thread starts.
void block();

/// Waits for SIGTERM or SIGINT.
/// @return the signal's number
int wait();

} // namespace citronseam::shutdown_signal

#endif
