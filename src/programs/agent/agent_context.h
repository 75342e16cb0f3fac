/// @file
/// State shared by the components of an agent.
#ifndef CITRONSEAM_PROGRAMS_AGENT_AGENT_CONTEXT_H
#define CITRONSEAM_PROGRAMS_AGENT_AGENT_CONTEXT_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/table_client.h"
#include "citronseam/process/metrics.h"
#include "citronseam/process/settings.h"
#include "programs/agent/admission_controller.h"
#include "programs/daemon/control_state_sync.h"

namespace citronseam {

/// Lives as long as the process; every component holds a reference.
struct agent_context {
    const settings& options;
    std::uint64_t incarnation;
    io_thread_pool& control;
    io_thread_pool& traffic;
    metrics& process_metrics;
    control_state_sync& state_sync;
    admission_controller& admission;
    http_client& backend; ///< sends requests to the backend server
    /// Sends requests to the platform and to the engine's admin interface.
    http_client& platform;
    table_client& store;
    /// Counts the starts of the backend server's process that this agent observed.
    std::atomic<std::uint64_t> backend_incarnation{1};
    /// Number of results of keyed requests that are not written to the store yet; shutdown waits
    /// for them.
    std::atomic<std::uint32_t> unwritten_results{0};
    /// Reports to the entries that the connection to the backend server broke while it ran the
    /// request with this fingerprint.
    std::function<void(std::uint64_t fingerprint)> report_backend_loss;
    /// Called when a request ended. Sends a heartbeat if requests were refused at the limit.
    std::function<void()> on_request_ended;
    /// Memory for the frames of responses that wait to be sent to the entries.
    std::shared_ptr<buffer_budget> unsent_frames = std::make_shared<buffer_budget>();
};

} // namespace citronseam

#endif
