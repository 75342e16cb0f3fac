#include "programs/gateway/early_refusal.h"

#include <utility>
#include <vector>

#include "citronseam/process/log.h"
#include "platform/http_headers.h"
#include "programs/gateway/http_status.h"

namespace citronseam {

void record_request_metrics(metrics& registry, const std::string& service,
                            const std::string& workspace, std::string_view outcome,
                            std::uint32_t total_ms) {
    registry.count(
        "citronseam_requests_total",
        {{"service", service}, {"workspace", workspace}, {"outcome", std::string(outcome)}});
    registry.observe("citronseam_request_seconds", {{"workspace", workspace}}, total_ms / 1000.0);
}

void early_refusal::set_view(std::shared_ptr<const traffic_view> view) {
    const std::lock_guard<std::mutex> lock(mutex_);
    view_ = std::move(view);
}

std::shared_ptr<const traffic_view> early_refusal::view() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return view_;
}

bool early_refusal::try_refuse(const server_request& request, http_responder& responder,
                               time_point received_at) {
    static const platform::local_response no_route =
        platform::make_refusal(status_not_found, no_route_message, {});
    static const platform::local_response unknown_key =
        platform::make_refusal(status_unauthorized, unknown_key_message, {});
    const platform::caller_identity caller = platform::parse_caller_identity(request.headers);
    const auto current = view();
    const route_lookup found = look_up_route(current.get(), configuration_due_, received_at,
                                             caller.host, request.path, caller.key);
    const bool is_without_route = found.decision == route_decision::no_route;
    if (!is_without_route && found.decision != route_decision::unknown_key) {
        return false;
    }
    const platform::local_response& response = is_without_route ? no_route : unknown_key;
    const std::string_view reason = is_without_route ? "no_route" : "unknown_key";
    responder.respond(response.status, response.headers, response.body);
    record_request_metrics(registry_, "",
                           found.workspace == nullptr ? "none" : found.workspace->name, reason,
                           elapsed_ms(received_at, std::chrono::steady_clock::now()));
    const std::lock_guard<std::mutex> lock(mutex_);
    record_refusal(log_, reason);
    return true;
}

void early_refusal::write_log(time_point now) {
    std::vector<refusal_line> lines;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        lines = take_due_lines(log_, now);
    }
    for (const refusal_line& line : lines) {
        log_event(log_level::warning, "requests_refused",
                  {{"reason", line.reason}, {"requests", line.requests}});
    }
}

} // namespace citronseam
