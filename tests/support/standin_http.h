/// @file
/// HTTP helpers shared by the stand-ins for the users' platform.
#ifndef CITRONSEAM_TESTS_SUPPORT_STANDIN_HTTP_H
#define CITRONSEAM_TESTS_SUPPORT_STANDIN_HTTP_H

#include <cstdint>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_server.h"

namespace citronseam::harness {

/// Name of the model that the stand-ins serve.
inline constexpr const char* standin_model = "model-1";

/// @return `host:port` on loopback
std::string loopback_address(std::uint16_t port);
/// @return the number in a query parameter, 0 if it is empty
std::uint64_t parse_number(const std::string& text);
/// Sends a JSON response.
void send_json(http_responder& responder, int status, const nlohmann::json& body);
/// Starts an HTTP server on a free port of loopback.
std::unique_ptr<http_server> start_server(request_handler handler);

} // namespace citronseam::harness

#endif
