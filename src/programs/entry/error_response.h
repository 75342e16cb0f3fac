/// @file
/// The answer to a request that the entry has given up on.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_ERROR_RESPONSE_H
#define CITRONSEAM_PROGRAMS_ENTRY_ERROR_RESPONSE_H

#include <string>

#include "citronseam/connection/http_responder.h"
#include "citronseam/request/verdict.h"

namespace citronseam {

/// Sends status, verdict, reason and when to come back, as headers and as a JSON body.
/// @param responder  of the caller
/// @param request_id the request's name in logs and traces
/// @param outcome    what was found last; its `retry_after` is sent as it is
void send_final_answer(http_responder& responder, const std::string& request_id,
                       const attempt_outcome& outcome);

} // namespace citronseam

#endif
