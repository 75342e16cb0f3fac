/// @file
/// HTTP interface for operators: health, readiness, metrics, and the paths of a role.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_OPERATOR_SERVER_H
#define CITRONSEAM_PROGRAMS_DAEMON_OPERATOR_SERVER_H

#include <functional>
#include <memory>
#include <string>

#include "citronseam/connection/http_server.h"
#include "citronseam/process/metrics.h"

namespace citronseam {

/// The operator interface of a role.
struct operator_interface {
    /// @return empty when the process is ready, or the reason why it is not
    std::function<std::string()> readiness;
    /// Handles paths other than /healthz, /readyz and /metrics.
    request_handler handle;
};

/// Starts the HTTP server of the interface.
/// @param address         address to listen on
/// @param process_metrics metrics to expose; must outlive the server
/// @param interface       of the role
/// @param options         the other options of the server
std::unique_ptr<http_server> start_operator_server(const host_port& address,
                                                   metrics& process_metrics,
                                                   operator_interface interface,
                                                   server_options options = {});

/// Sends a JSON response.
void respond_json(http_responder& responder, int status, const std::string& json);
/// Sends a JSON response with an error message.
void respond_error(http_responder& responder, int status, const std::string& message);

} // namespace citronseam

#endif
