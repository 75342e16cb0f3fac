#include "programs/entry/error_response.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace citronseam {
namespace {

std::string retry_after_seconds(milliseconds wait) {
    const auto whole = std::chrono::ceil<seconds>(wait).count();
    return std::to_string(std::max<std::int64_t>(whole, 1));
}

} // namespace

void send_error_response(http_responder& responder, const std::string& request_id,
                         const attempt_outcome& outcome) {
    const nlohmann::json body = {{"error",
                                  {{"message", outcome.message},
                                   {"code", name(outcome.reason)},
                                   {"verdict", name(outcome.verdict)},
                                   {"request_id", request_id},
                                   {"retry_after_ms", outcome.retry_after.count()}}}};
    responder.respond(http_status(outcome.reason),
                      {{"Content-Type", "application/json"},
                       {"X-Run-Verdict", std::string(name(outcome.verdict))},
                       {"X-Refusal", std::string(name(outcome.reason))},
                       {"X-Request-Id", request_id},
                       {"Retry-After", retry_after_seconds(outcome.retry_after)}},
                      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

} // namespace citronseam
