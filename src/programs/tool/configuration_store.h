/// @file
/// Reads and moves the head of the configuration.
#ifndef CITRONSEAM_PROGRAMS_TOOL_CONFIGURATION_STORE_H
#define CITRONSEAM_PROGRAMS_TOOL_CONFIGURATION_STORE_H

#include <optional>
#include <string>
#include <vector>

#include "programs/tool/tool_context.h"

namespace citronseam::tool {

/// The head with its row's tag; generation 0 and no tag when nothing was accepted yet.
struct present_head {
    configuration_head head;
    std::string tag;
};

/// Reads the head row.
result<present_head> read_head(tool_context& context);

/// Reads the accepted configuration text.
/// @return empty text when nothing was accepted yet
result<std::string> read_body(tool_context& context, const configuration_head& head);

/// What is accepted now.
struct accepted_text {
    present_head present;
    std::string body; ///< empty when nothing was accepted yet
};

/// Reads the head and its body.
result<accepted_text> read_accepted_text(tool_context& context);
/// Reads the accepted configuration.
result<configuration> read_accepted_configuration(tool_context& context);

/// Makes a configuration the accepted one, by one conditional write of the head row.
///
/// A lost answer is settled by reading the head back and walking its chain of parents: the write
/// took effect if and only if its attempt stands in the chain.
/// @param body   checked YAML text
/// @param parent head that the change was made against
/// @return the new head. Errors: `precondition_failed` names the generation and author that came
/// first; `outcome_unknown` when the store did not answer for too long
result<configuration_head> move_head(tool_context& context, const std::string& body,
                                     const present_head& parent);

/// Hands an accepted configuration to the entries, so that it spreads also when the store is cut
/// off right after acceptance.
/// @return how many entries took it
int spread(tool_context& context, const configuration_head& head, const std::string& body);

/// Reads the chain of accepted heads, latest first.
/// @param most how many to read
result<std::vector<configuration_head>> read_history(tool_context& context, std::size_t most);

} // namespace citronseam::tool

#endif
