/// @file
/// What the stand-ins of the users' platform share.
#ifndef CITRONSEAM_TESTS_SUPPORT_STANDIN_HTTP_H
#define CITRONSEAM_TESTS_SUPPORT_STANDIN_HTTP_H

#include <cstdint>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_server.h"

namespace citronseam::harness {

/// Model that the stand-ins know.
inline constexpr const char* standin_model = "model-1";

/// @return `host:port` on loopback
std::string local_address(std::uint16_t port);
/// @return a number of a query, 0 for an empty one
std::uint64_t number_of(const std::string& text);
/// Answers with JSON.
void send_json(http_responder& responder, int status, const nlohmann::json& body);
/// Starts a server on a free port.
std::unique_ptr<http_server> serve(request_handler handler);

} // namespace citronseam::harness

#endif
