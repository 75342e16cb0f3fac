/// @file
/// What both roles do from their start to their end.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_ROLE_RUN_H
#define CITRONSEAM_PROGRAMS_DAEMON_ROLE_RUN_H

#include <cstdint>
#include <functional>
#include <string>

namespace citronseam {

/// Starts a role, waits for the signal to leave, and lets the role leave.
/// @return exit code of the process
int run_role(const std::function<void()>& start, const std::function<void()>& leave);

/// @param listen address as set, whose port may be 0
/// @param port   port that the system gave
/// @return `host:port` at which others reach the process
std::string listening_address(const std::string& listen, std::uint16_t port);

} // namespace citronseam

#endif
