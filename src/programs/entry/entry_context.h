/// @file
/// Components shared within an entry.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_ENTRY_CONTEXT_H
#define CITRONSEAM_PROGRAMS_ENTRY_ENTRY_CONTEXT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/metrics.h"
#include "citronseam/process/settings.h"
#include "citronseam/request/buffer_budget.h"
#include "programs/daemon/control_state_sync.h"
#include "programs/daemon/crash_registry.h"
#include "programs/entry/crash_check.h"
#include "programs/entry/latency_recorder.h"
#include "programs/entry/service_dispatcher.h"
#include "programs/entry/trace_buffer.h"

namespace citronseam {

/// Has the lifetime of the process; every component holds a reference.
struct entry_context {
    const settings& options;
    io_thread_pool& control;
    io_thread_pool& traffic;
    metrics& process_metrics;
    control_state_sync& state_sync;
    crash_registry& crashes;
    crash_check& crash_checks;
    trace_buffer& traces;
    latency_recorder& latencies;
    /// @return the dispatcher of a service, or nullptr
    std::function<std::shared_ptr<service_dispatcher>(const std::string& service)> find_dispatcher;
    /// Memory for responses that are held until they are complete.
    std::shared_ptr<buffer_budget> response_buffers = std::make_shared<buffer_budget>();
};

} // namespace citronseam

#endif
