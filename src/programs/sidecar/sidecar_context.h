/// @file
/// Objects that the components of a sidecar share.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_SIDECAR_CONTEXT_H
#define CITRONSEAM_PROGRAMS_SIDECAR_SIDECAR_CONTEXT_H

#include <functional>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/metrics.h"
#include "citronseam/process/settings.h"

namespace citronseam {

/// Lives as long as the process; every component holds a reference.
struct sidecar_context {
    const settings& options;
    io_thread_pool& control;
    http_client& http;
    metrics& metric_registry;
};

/// Sends a request with the shared client and handles the response on the control thread.
/// @param max_body_size maximum bytes of the response's body; the exchange fails if it is longer
/// @param on_response   called with the response on the control thread
void fetch_on_control(sidecar_context& context, http_request request, std::size_t max_body_size,
                      std::function<void(const http_response&)> on_response);
/// Sends a request with a client of the caller's, which must live until the response is handled.
void fetch_on_control(sidecar_context& context, http_client& http, http_request request,
                      std::size_t max_body_size,
                      std::function<void(const http_response&)> on_response);

} // namespace citronseam

#endif
