/// @file
/// What the parts of an agent share.
#ifndef CITRONSEAM_PROGRAMS_AGENT_AGENT_CONTEXT_H
#define CITRONSEAM_PROGRAMS_AGENT_AGENT_CONTEXT_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/table_client.h"
#include "citronseam/process/metrics.h"
#include "citronseam/process/settings.h"
#include "programs/agent/admission_controller.h"
#include "programs/daemon/control_state_sync.h"

namespace citronseam {

/// Lives as long as the process; every part holds a reference.
struct agent_context {
    const settings& options;
    std::uint64_t incarnation;
    io_threads& control;
    io_threads& traffic;
    metrics& numbers;
    control_hub& hub;
    admission_gate& gate;
    http_client& backend;  ///< exchanges with the backend server
    http_client& platform; ///< exchanges with the platform
    table_client& store;
    /// Counts the lives of the backend server's process as this agent saw them.
    std::atomic<std::uint64_t> backend_life{1};
    /// Results of keyed requests that are not written yet; the process waits for them when it
    /// leaves.
    std::atomic<std::uint32_t> unwritten_results{0};
    /// Tells the entries that the backend server was lost while it ran these requests.
    std::function<void(std::uint64_t fingerprint)> report_loss;
    /// Says that a running request ended, so that a process on its way out can see if it is done.
    std::function<void()> request_ended;
};

} // namespace citronseam

#endif
