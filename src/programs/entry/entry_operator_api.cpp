#include "programs/entry/entry_operator_api.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "programs/daemon/operator_server.h"

namespace citronseam {
namespace {

constexpr std::string_view quarantine_path_prefix = "/v1/quarantine/";
constexpr std::string_view trace_path_prefix = "/v1/traces/";
constexpr std::string_view latency_path_prefix = "/v1/latencies/";
constexpr milliseconds max_notice_duration{3600000};

nlohmann::json agent_json(const backend_server_link& link, const agent_report& report) {
    return {{"instance", link.instance()},
            {"role", "agent"},
            {"service", link.service()},
            {"availability_zone", link.availability_zone()},
            {"incarnation", link.incarnation()},
            {"generation", report.generation},
            {"ready", report.is_ready},
            {"leaving", report.is_leaving},
            {"limit", report.limit},
            {"running", report.running},
            {"version", report.model_version},
            {"version_since_ms", report.version_since_ms},
            {"chunks_held", report.chunks_held},
            {"chunks_total", report.chunks_total},
            {"origin_bytes", report.origin_bytes}};
}

nlohmann::json status_json(const operator_api_context& entry) {
    const control_view view = entry.state_sync.view();
    const time_point now = std::chrono::steady_clock::now();
    nlohmann::json entries = nlohmann::json::array();
    entries.push_back({{"instance", entry.instance},
                       {"availability_zone", entry.availability_zone},
                       {"address", entry.http_address},
                       {"generation", accepted_generation(*view)},
                       {"leaving", entry.is_leaving.load()},
                       {"running", entry.running.load()}});
    for (const auto& other : entry.mesh.list()) {
        entries.push_back({{"instance", other.address.instance},
                           {"availability_zone", other.address.availability_zone},
                           {"address", other.address.http_address},
                           {"generation", other.generation},
                           {"leaving", other.is_leaving},
                           {"running", other.address.load}});
    }
    nlohmann::json agents = nlohmann::json::array();
    for (const auto& link : entry.directory.links()) {
        agents.push_back(agent_json(*link, link->report()));
    }
    nlohmann::json prefixes = nlohmann::json::object();
    for (const auto& [service, dispatcher] : entry.directory.dispatchers()) {
        prefixes[service] = dispatcher->prefix_count();
    }
    nlohmann::json notices = nlohmann::json::array();
    for (const auto& [zone, notice] : view->notices) {
        notices.push_back({{"availability_zone", zone},
                           {"out", notice.is_out},
                           {"expires_in_ms", elapsed_ms(now, notice.expires_at)}});
    }
    return {{"asked", entry.instance},
            {"generation", accepted_generation(*view)},
            {"evidence_age_ms", view->has_evidence ? nlohmann::json(elapsed_ms(view->evidence, now))
                                                   : nlohmann::json()},
            {"entries", entries},
            {"agents", agents},
            {"known_prefixes", prefixes},
            {"notices", notices}};
}

nlohmann::json quarantine_json(const crash_registry& crashes) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& entry : crashes.list()) {
        nlohmann::json losses = nlohmann::json::array();
        for (const auto& loss : entry.losses) {
            losses.push_back({{"instance", loss.instance}, {"life", loss.incarnation}});
        }
        list.push_back({{"fingerprint", std::to_string(entry.fingerprint)},
                        {"standing", name(entry.status)},
                        {"losses", losses},
                        {"expires_in_ms", entry.expires_in.count()}});
    }
    return {{"requests", list}};
}

nlohmann::json trace_json(const trace_buffer& traces, const std::string& request_id) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& trace : traces.find(request_id)) {
        nlohmann::json attempts = nlohmann::json::array();
        for (const auto& attempt : trace.attempts) {
            attempts.push_back({{"instance", attempt.instance},
                                {"sent_ms", attempt.sent_ms},
                                {"ended_ms", attempt.ended_ms},
                                {"verdict", name(attempt.verdict)},
                                {"refusal", name(attempt.reason)}});
        }
        list.push_back({{"request_id", trace.request_id},
                        {"service", trace.service},
                        {"workspace", trace.workspace},
                        {"idempotent", trace.is_idempotent},
                        {"fingerprint", std::to_string(trace.fingerprint)},
                        {"arrived_at_ms", trace.arrived_at_ms},
                        {"taken_ms", trace.duration_ms},
                        {"result", trace.result},
                        {"model_version", trace.model_version},
                        {"attempts", attempts}});
    }
    return {{"traces", list}};
}

std::uint64_t number_parameter(const server_request& request, std::string_view name) {
    const std::string text = query_parameter(request, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

nlohmann::json latency_json(const latency_summary& summary) {
    return {
        {"answered", summary.answered}, {"failed", summary.failed}, {"buckets", summary.buckets}};
}

void handle_configuration_post(const operator_api_context& entry, const server_request& request,
                               http_responder& responder) {
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
        respond_error(responder, 400, "expected a JSON object");
        return;
    }
    wire::configuration_bodyT body;
    body.generation = json.value("generation", std::uint64_t{0});
    body.hash = json.value("hash", "");
    body.attempt = json.value("attempt", "");
    body.body = json.value("body", "");
    const shared_frame frame = make_frame(std::move(body));
    const auto* envelope = wire::Getenvelope(frame->data() + frame_header_size);
    entry.state_sync.handle_configuration(*envelope->body_as_configuration_body());
    respond_json(responder, 202, "{\"taken\":true}");
}

void handle_notice_post(const operator_api_context& entry, const server_request& request,
                        http_responder& responder) {
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("availability_zone")) {
        respond_error(responder, 400, "expected a JSON object with availability_zone");
        return;
    }
    const control_view view = entry.state_sync.view();
    zone_notice notice;
    notice.availability_zone = json.value("availability_zone", "");
    if (view->accepted == nullptr ||
        find_zone(view->accepted->content, notice.availability_zone) == nullptr) {
        respond_error(responder, 404,
                      "there is no availability zone '" + notice.availability_zone + "'");
        return;
    }
    const milliseconds duration(json.value("expires_in_ms", std::int64_t{0}));
    notice.stamp_ms = json.value("stamp_ms", wall_clock_ms());
    notice.is_out = json.value("out", true);
    notice.expires_at = std::chrono::steady_clock::now() +
                        std::clamp(duration, milliseconds(0), max_notice_duration);
    entry.state_sync.post_notice(std::move(notice));
    respond_json(responder, 202, "{\"taken\":true}");
}

void release_from_quarantine(const operator_api_context& entry, const std::string& text,
                             http_responder& responder) {
    std::uint64_t fingerprint = 0;
    const char* end = text.data() + text.size();
    const auto [rest, parse_error] = std::from_chars(text.data(), end, fingerprint);
    if (parse_error != std::errc{} || rest != end) {
        respond_error(responder, 400, "expected a fingerprint, found '" + text + "'");
    } else if (!entry.crashes.release(fingerprint)) {
        respond_error(responder, 404, "there is no record of fingerprint " + text);
    } else {
        respond_json(responder, 200, "{\"released\":true}");
    }
}

} // namespace

void handle_operator_request(const operator_api_context& entry, const server_request& request,
                             http_responder& responder) {
    const bool is_get = request.method == "GET";
    const bool is_post = request.method == "POST";
    if (is_get && request.path == "/v1/status") {
        respond_json(responder, 200, status_json(entry).dump());
    } else if (is_post && request.path == "/v1/configuration") {
        handle_configuration_post(entry, request, responder);
    } else if (is_post && request.path == "/v1/notices") {
        handle_notice_post(entry, request, responder);
    } else if (is_get && request.path == "/v1/quarantine") {
        respond_json(responder, 200, quarantine_json(entry.crashes).dump());
    } else if (is_get && request.path.rfind(trace_path_prefix, 0) == 0) {
        respond_json(
            responder, 200,
            trace_json(entry.traces, request.path.substr(trace_path_prefix.size())).dump());
    } else if (is_get && request.path.rfind(latency_path_prefix, 0) == 0) {
        const auto summary = entry.latencies.summary(
            request.path.substr(latency_path_prefix.size()), number_parameter(request, "from_ms"),
            number_parameter(request, "to_ms"));
        respond_json(responder, 200, latency_json(summary).dump());
    } else if (request.method == "DELETE" && request.path.rfind(quarantine_path_prefix, 0) == 0) {
        release_from_quarantine(entry, request.path.substr(quarantine_path_prefix.size()),
                                responder);
    } else {
        respond_error(responder, 404, "no such path: " + request.method + " " + request.path);
    }
}

} // namespace citronseam
