/// @file
/// Process life cycle common to all roles.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_ROLE_RUNNER_H
#define CITRONSEAM_PROGRAMS_DAEMON_ROLE_RUNNER_H

#include <cstdint>
#include <functional>
#include <string>

namespace citronseam {

struct settings;

/// Life cycle callbacks of a role.
struct role_callbacks {
    std::function<void()> start;
    std::function<void()> shut_down; ///< returns when all requests in flight have completed
    /// Applies reloaded settings; may be empty.
    std::function<void(const settings&)> apply_settings;
};

/// Starts a role, reloads its settings on SIGHUP, and shuts it down on SIGTERM or SIGINT.
/// @return exit code of the process
int run_role(const settings& options, const role_callbacks& callbacks);

/// @param listen configured address, whose port may be 0
/// @param port   port that the system assigned
/// @return `host:port` of the listening socket
std::string listening_address(const std::string& listen, std::uint16_t port);

} // namespace citronseam

#endif
