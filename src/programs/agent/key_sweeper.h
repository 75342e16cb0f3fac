/// @file
/// Deletes rows of keys whose time is over.
#ifndef CITRONSEAM_PROGRAMS_AGENT_KEY_SWEEPER_H
#define CITRONSEAM_PROGRAMS_AGENT_KEY_SWEEPER_H

#include "citronseam/process/random.h"
#include "programs/agent/agent_context.h"

namespace citronseam {

/// Looks at one small part of the table at a time, chosen at random, so that the agents of all
/// services together pass over the whole table without agreeing on who does what. Deleting a row
/// twice is harmless: the delete is conditional.
class key_sweeper {
public:
    /// @param context parts of the agent
    explicit key_sweeper(agent_context& context);

    /// Looks at the next part. Call it again and again on the control thread.
    void sweep();

private:
    void remove_expired(const std::vector<table_row>& rows);
    void remove_object(const std::string& name);

    agent_context& context_;
    random_source random_;
};

} // namespace citronseam

#endif
