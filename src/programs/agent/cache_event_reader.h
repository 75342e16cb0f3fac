/// @file
/// Forwards an engine's prefix cache events to the entries.
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

/// Polls the cache events of one engine. All functions run on the control thread.
class cache_event_reader {
public:
    /// @param context shared state of the agent
    /// @param send    sends a report to the entries
    cache_event_reader(agent_context& context, std::function<void(const shared_frame&)> send);

    /// Fetches the new events; does nothing while an earlier fetch is in progress.
    /// @param boot_id identifies one run of the engine's process; a new process has an empty cache
    void poll(const std::string& boot_id);

private:
    void handle_events(const std::string& boot_id, const result<std::vector<cache_event>>& events);

    agent_context& context_;
    std::function<void(const shared_frame&)> send_;
    event_sequence sequence_;
    std::string boot_id_;
    bool is_polling_{false};
    bool is_reset_pending_{false};
};

} // namespace citronseam

#endif
