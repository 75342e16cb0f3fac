/// @file
/// HTTP interface for operators: health, readiness, metrics, and what a role adds.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_OPERATOR_SERVER_H
#define CITRONSEAM_PROGRAMS_DAEMON_OPERATOR_SERVER_H

#include <functional>
#include <memory>
#include <string>

#include "citronseam/connection/http_server.h"
#include "citronseam/process/metrics.h"

namespace citronseam {

/// What a role answers to operators.
struct operator_interface {
    /// @return empty when the process is ready, or what it waits for
    std::function<std::string()> readiness;
    /// Handles paths other than /healthz, /readyz and /metrics.
    request_handler handle;
};

/// Starts the interface.
/// @param address where to listen
/// @param numbers metrics to show; must outlive the server
std::unique_ptr<http_server> start_operator_server(const host_port& address, metrics& numbers,
                                                   operator_interface interface);

/// Sends a JSON answer.
void respond_json(http_responder& responder, int status, const std::string& json);
/// Sends a JSON answer that holds an error message.
void respond_error(http_responder& responder, int status, const std::string& message);

} // namespace citronseam

#endif
