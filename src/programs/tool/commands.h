/// @file
/// The subcommands of the operators' tool. Each adds itself to the command line and, when it was
/// called, stores its exit code.
#ifndef CITRONSEAM_PROGRAMS_TOOL_COMMANDS_H
#define CITRONSEAM_PROGRAMS_TOOL_COMMANDS_H

#include <functional>
#include <string>

#include <CLI/CLI.hpp>

#include "programs/tool/tool_context.h"

namespace citronseam::tool {

/// Runs one subcommand with a context; the result is the exit code.
using command = std::function<int(tool_context&)>;
/// Takes the subcommand that the command line chose.
using command_sink = std::function<void(command)>;

/// `config check|show|diff|apply|history`
void add_config_commands(CLI::App& app, const command_sink& choose);
/// `zone out|in|list`
void add_zone_commands(CLI::App& app, const command_sink& choose);
/// `release`, `rollout watch|status`
void add_release_commands(CLI::App& app, const command_sink& choose);
/// `report`
void add_report_command(CLI::App& app, const command_sink& choose);
/// `status`, `workspace list`, `trace`, `quarantine list|release`, `key show|settle`
void add_status_commands(CLI::App& app, const command_sink& choose);

/// Changes one value of the accepted configuration and makes the result accepted. When another
/// operator's change comes first, the change is made again on top of it.
/// @param change makes the new text out of the present one
int change_configuration(tool_context& context,
                         const std::function<result<std::string>(const std::string&)>& change);

} // namespace citronseam::tool

#endif
