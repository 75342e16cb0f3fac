/// @file
/// HTTP status codes that a gateway checks for or sends.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_HTTP_STATUS_H
#define CITRONSEAM_PROGRAMS_GATEWAY_HTTP_STATUS_H

namespace citronseam {

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_request_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many_requests = 429;
constexpr int first_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

} // namespace citronseam

#endif
