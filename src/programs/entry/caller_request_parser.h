/// @file
/// Parses callers' HTTP requests and resolves them against the configuration.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_CALLER_REQUEST_PARSER_H
#define CITRONSEAM_PROGRAMS_ENTRY_CALLER_REQUEST_PARSER_H

#include "citronseam/connection/http_server.h"
#include "citronseam/process/configuration.h"
#include "citronseam/process/error.h"
#include "programs/entry/request_exchange.h"

namespace citronseam {

/// Parses a request for a backend server.
///
/// `POST /v1/completions` and `POST /v1/chat/completions` go to the service that the JSON body
/// names as `model`. `/services/NAME/PATH` goes to the plain service NAME as `/PATH`.
/// @param config     the configuration in force
/// @param request    the caller's HTTP request
/// @param request_id identifier to use when the request has no `X-Request-Id`
/// @return the request, or an error whose message is sent to the caller
result<caller_request> parse_caller_request(const configuration& config, server_request request,
                                            std::string request_id);

} // namespace citronseam

#endif
