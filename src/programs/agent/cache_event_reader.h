/// @file
/// Passes an engine's cache events on to the entries.
#ifndef CITRONSEAM_PROGRAMS_AGENT_CACHE_EVENT_READER_H
#define CITRONSEAM_PROGRAMS_AGENT_CACHE_EVENT_READER_H

#include <functional>
#include <string>
#include <vector>

#include "citronseam/connection/wire_message.h"
#include "citronseam/request/prefix_table.h"
#include "programs/agent/agent_context.h"
#include "programs/agent/engine_client.h"

namespace citronseam {

/// Reads the events of one engine. All functions run on the control thread.
class cache_watch {
public:
    /// @param context parts of the agent
    /// @param send    sends a report to the entries
    cache_watch(agent_context& context, std::function<void(const shared_frame&)> send);

    /// Reads the events that are new; does nothing while an earlier reading is under way.
    /// @param boot identifies the life of the engine's process; a new one has an empty cache
    void read(const std::string& boot);

private:
    void take(const std::string& boot, const result<std::vector<cache_event>>& events);

    agent_context& context_;
    std::function<void(const shared_frame&)> send_;
    event_sequence sequence_;
    std::string boot_;
    bool is_reading_{false};
    bool is_reset_due_{false};
};

} // namespace citronseam

#endif
