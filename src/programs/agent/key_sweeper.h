/// @file
/// Deletes the rows of expired keys.
#ifndef CITRONSEAM_PROGRAMS_AGENT_KEY_SWEEPER_H
#define CITRONSEAM_PROGRAMS_AGENT_KEY_SWEEPER_H

#include "citronseam/process/random.h"
#include "programs/agent/agent_context.h"

namespace citronseam {

/// Each sweep scans one small partition of the table, chosen at random, so that the agents of all
/// services together cover the whole table without coordination. Two agents may delete the same row
/// without harm: the delete is conditional.
class key_sweeper {
public:
    /// @param context shared state of the agent
    explicit key_sweeper(agent_context& context);

    /// Scans one partition. Call it periodically on the control thread.
    void sweep();

private:
    void remove_expired(const std::vector<table_row>& rows);
    void remove_object(const std::string& name);

    agent_context& context_;
    random_source random_;
};

} // namespace citronseam

#endif
