/// @file
/// The error response to a request that failed and is not retried.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_ERROR_RESPONSE_H
#define CITRONSEAM_PROGRAMS_ENTRY_ERROR_RESPONSE_H

#include <string>

#include "citronseam/connection/http_responder.h"
#include "citronseam/request/verdict.h"

namespace citronseam {

/// Sends status, verdict, reason and the time to retry after, as headers and as a JSON body.
/// @param responder  sends the response to the caller
/// @param request_id identifier of the request in logs and traces
/// @param outcome    outcome of the last attempt; its `retry_after` is sent unchanged
void send_error_response(http_responder& responder, const std::string& request_id,
                         const attempt_outcome& outcome);

} // namespace citronseam

#endif
