/// @file
/// State that the components of a gateway share.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_GATEWAY_CONTEXT_H
#define CITRONSEAM_PROGRAMS_GATEWAY_GATEWAY_CONTEXT_H

#include <atomic>
#include <cstdint>
#include <optional>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/metrics.h"
#include "citronseam/process/settings.h"
#include "citronseam/request/shutdown_admission.h"
#include "programs/gateway/crash_evidence.h"
#include "programs/gateway/first_event_reporter.h"
#include "programs/gateway/server_pool.h"

namespace citronseam {

/// Lives as long as the process; every component holds a reference.
struct gateway_context {
    const settings& options;
    io_thread_pool& control;
    http_client& traffic; ///< its thread is the traffic thread
    metrics& metric_registry;
    server_pool& pool;
    crash_evidence& crashes;
    first_event_reporter& first_events;
    std::atomic<std::uint32_t> requests_in_flight{0}; ///< of callers
    std::optional<shutdown_plan> shutdown{};          ///< traffic thread; empty before a shutdown
};

} // namespace citronseam

#endif
