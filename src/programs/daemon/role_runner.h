/// @file
/// What all roles do from their start to their end.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_ROLE_RUNNER_H
#define CITRONSEAM_PROGRAMS_DAEMON_ROLE_RUNNER_H

#include <cstdint>
#include <functional>
#include <string>

namespace citronseam {

struct settings;

/// What a role does at the turns of its life.
struct role_actions {
    std::function<void()> start;
    std::function<void()> leave; ///< returns when everything in flight has ended
    /// Takes settings that were read again; may be empty.
    std::function<void(const settings&)> take_settings;
};

/// Starts a role, reads its settings again when asked to, waits for the signal to leave, and lets
/// the role leave.
/// @return exit code of the process
int run_role(const settings& options, const role_actions& actions);

/// @param listen address as set, whose port may be 0
/// @param port   port that the system gave
/// @return `host:port` at which others reach the process
std::string listening_address(const std::string& listen, std::uint16_t port);

} // namespace citronseam

#endif
