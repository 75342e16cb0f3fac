/// @file
/// Subcommands of the operator command-line tool. Each function registers its subcommands with the
/// command-line parser and passes the handler of the parsed one to `set_command`.
#ifndef CITRONSEAM_PROGRAMS_TOOL_COMMANDS_H
#define CITRONSEAM_PROGRAMS_TOOL_COMMANDS_H

#include <functional>
#include <string>

#include <CLI/CLI.hpp>

#include "programs/tool/tool_context.h"

namespace citronseam::tool {

/// Handler of one subcommand. Returns the exit code.
using command_function = std::function<int(tool_context&)>;
/// Receives the handler of the subcommand that was parsed.
using command_setter = std::function<void(command_function)>;

/// `config check|show|diff|apply|history`
void add_config_commands(CLI::App& app, const command_setter& set_command);
/// `zone out|in|list`
void add_zone_commands(CLI::App& app, const command_setter& set_command);
/// `release`, `rollout watch|status`
void add_release_commands(CLI::App& app, const command_setter& set_command);
/// `report`
void add_report_command(CLI::App& app, const command_setter& set_command);
/// `status`, `workspace list`, `trace`, `quarantine list|release`, `key show|settle`
void add_status_commands(CLI::App& app, const command_setter& set_command);

/// Applies an edit to the accepted configuration and commits the result. If another operator
/// commits first, the edit is applied again to the new configuration, up to a fixed number of
/// times.
/// @param edit returns the new text for the current text
/// @return the exit code
int update_configuration(tool_context& context,
                         const std::function<result<std::string>(const std::string&)>& edit);

} // namespace citronseam::tool

#endif
