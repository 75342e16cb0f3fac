/// @file
/// Reads and commits the accepted configuration in the table service and the object store.
#ifndef CITRONSEAM_PROGRAMS_TOOL_CONFIGURATION_STORE_H
#define CITRONSEAM_PROGRAMS_TOOL_CONFIGURATION_STORE_H

#include <optional>
#include <string>
#include <vector>

#include "programs/tool/tool_context.h"

namespace citronseam::tool {

/// The head with the entity tag of its row. Generation 0 and an empty tag when no configuration was
/// accepted yet.
struct tagged_head {
    configuration_head head;
    std::string tag;
};

/// Reads the head row of the configuration table.
result<tagged_head> read_head(tool_context& context);

/// Reads the configuration text of a head from the object store.
/// @return empty text for generation 0
result<std::string> read_body(tool_context& context, const configuration_head& head);

/// The accepted configuration as text, with its head.
struct accepted_configuration_text {
    tagged_head current;
    std::string body; ///< empty when nothing was accepted yet
};

/// Reads the head and the configuration text that it refers to.
result<accepted_configuration_text> read_accepted_text(tool_context& context);
/// Reads and parses the accepted configuration.
result<configuration> read_accepted_configuration(tool_context& context);

/// Commits a configuration with one conditional write of the head row.
///
/// If the response is lost, the head is read back and its parent chain is searched: the write took
/// effect if and only if its attempt is in the chain.
/// @param body   validated YAML text
/// @param parent head that the change is based on
/// @return the new head. Errors: `precondition_failed` names the generation and author that were
/// committed first; `outcome_unknown` when the store did not respond within the time limit
result<configuration_head> commit_head(tool_context& context, const std::string& body,
                                       const tagged_head& parent);

/// Sends an accepted configuration to the entries directly, so that it propagates even if the store
/// becomes unreachable right after the commit.
/// @return number of entries that accepted it
int push_to_entries(tool_context& context, const configuration_head& head, const std::string& body);

/// Reads the chain of accepted heads, latest first.
/// @param max_count maximum number of heads to read
result<std::vector<configuration_head>> read_history(tool_context& context, std::size_t max_count);

} // namespace citronseam::tool

#endif
