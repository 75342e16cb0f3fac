#include "support/standin_http.h"

namespace citronseam::harness {

std::string loopback_address(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::uint64_t parse_number(const std::string& text) {
    return text.empty() ? 0 : std::stoull(text);
}

void send_json(http_responder& responder, int status, const nlohmann::json& body) {
    responder.respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

std::unique_ptr<http_server> start_server(request_handler handler) {
    return std::make_unique<http_server>(server_options{{"127.0.0.1", 0}, 1, mebibyte},
                                         std::move(handler));
}

} // namespace citronseam::harness
