/// @file
/// Reads callers' HTTP requests into the terms of the configuration.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_CALLER_REQUEST_PARSER_H
#define CITRONSEAM_PROGRAMS_ENTRY_CALLER_REQUEST_PARSER_H

#include "citronseam/connection/http_server.h"
#include "citronseam/process/configuration.h"
#include "citronseam/process/error.h"
#include "programs/entry/request_exchange.h"

namespace citronseam {

/// Reads a request for a backend server.
///
/// `POST /v1/completions` and `POST /v1/chat/completions` go to the service that the JSON body
/// names as `model`. `/services/NAME/PATH` goes to the plain service NAME as `/PATH`.
/// @param config     the configuration in force
/// @param request    what came
/// @param request_id identifier to use when the caller gave none
/// @return the request, or an error whose message is for the caller
result<caller_request> read_caller_request(const configuration& config, server_request request,
                                           std::string request_id);

} // namespace citronseam

#endif
