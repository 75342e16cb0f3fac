#include "programs/daemon/operator_server.h"

#include <nlohmann/json.hpp>

namespace citronseam {

void respond_json(http_responder& responder, int status, const std::string& json) {
    responder.respond(status, {{"Content-Type", "application/json"}}, json + "\n");
}

void respond_error(http_responder& responder, int status, const std::string& message) {
    const nlohmann::json body = {{"error", {{"message", message}}}};
    respond_json(responder, status, body.dump());
}

std::unique_ptr<http_server> start_operator_server(const host_port& address,
                                                   metrics& process_metrics,
                                                   operator_interface interface,
                                                   server_options options) {
    options.address = address;
    options.threads = 1;
    return std::make_unique<http_server>(
        options, [&process_metrics, interface = std::move(interface)](
                     server_request request, std::shared_ptr<http_responder> responder) {
            if (request.path == "/healthz") {
                responder->respond(200, {{"Content-Type", "text/plain"}}, "ok\n");
            } else if (request.path == "/readyz") {
                const std::string unready_reason = interface.readiness();
                responder->respond(unready_reason.empty() ? 200 : 503,
                                   {{"Content-Type", "text/plain"}},
                                   unready_reason.empty() ? "ready\n" : unready_reason + "\n");
            } else if (request.path == "/metrics") {
                responder->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                                   process_metrics.text());
            } else {
                interface.handle(std::move(request), std::move(responder));
            }
        });
}

} // namespace citronseam
