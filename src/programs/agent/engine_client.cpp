#include "programs/agent/engine_client.h"

#include <nlohmann/json.hpp>

#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

constexpr std::size_t max_response_bytes = 64 * kibibyte;
constexpr milliseconds status_timeout{1000};
constexpr milliseconds chunk_timeout{30000};

result<engine_status> parse_status(const std::string& text) {
    try {
        const auto json = nlohmann::json::parse(text);
        return engine_status{json.at("version"), json.at("boot"), json.at("warm"),
                             json.value("loading", false)};
    } catch (const nlohmann::json::exception& exception) {
        return failure(error_code::protocol,
                       std::string("cannot parse the engine's status: ") + exception.what());
    }
}

result<std::vector<cache_event>> parse_cache_events(const std::string& text) {
    try {
        const auto json = nlohmann::json::parse(text);
        const auto& rows = json.at("events");
        std::vector<cache_event> events;
        events.reserve(rows.size());
        for (const auto& row : rows) {
            events.push_back({row.at("number"), std::stoull(row.at("key").get<std::string>()),
                              row.at("event") == "stored"});
        }
        return events;
    } catch (const std::exception& exception) {
        return failure(error_code::protocol,
                       std::string("cannot parse the engine's cache events: ") + exception.what());
    }
}

result<bool> parse_admin_response(const http_response& response) {
    if (!response.outcome.is_complete) {
        const bool is_sent = response.outcome.verdict != run_verdict::not_run;
        return failure(is_sent ? error_code::outcome_unknown : error_code::unavailable,
                       "no response from the engine: " + response.outcome.message);
    }
    switch (response.outcome.status) {
    case 200:
        return true;
    case 409:
        return failure(error_code::precondition_failed,
                       "the engine accepted a load request with a later fencing token");
    case 422:
        return failure(error_code::corrupt, "the engine reports incomplete or corrupt weights");
    default:
        return failure(error_code::protocol, "the engine responded with status " +
                                                 std::to_string(response.outcome.status));
    }
}

/// No response names its request, so on a kept connection a late one to an earlier call would count
/// as this one's.
http_request make_request(std::string method, const std::string& address, const std::string& path,
                          milliseconds timeout) {
    http_request request;
    request.method = std::move(method);
    request.url = "http://" + address + path;
    request.timeout = timeout;
    request.may_reuse_connection = false;
    return request;
}

/// @return whether the response to a load request names the version that was loaded
bool names_version(const http_response& response, const std::string& version) {
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    const auto named = json.find("version");
    return json.is_object() && named != json.end() && *named == version;
}

result<bool> parse_load_response(const http_response& response, const std::string& version) {
    auto outcome = parse_admin_response(response);
    if (outcome && !names_version(response, version)) {
        return failure(error_code::outcome_unknown,
                       "the engine's response does not name the version that it loaded");
    }
    return outcome;
}

} // namespace

void fetch_status(http_client& http, const std::string& address,
                  std::function<void(result<engine_status>)> done) {
    http.fetch(make_request("GET", address, "/admin/status", status_timeout), max_response_bytes,
               [done = std::move(done)](const http_response& response) {
                   if (!response.outcome.is_complete || response.outcome.status != 200) {
                       done(failure(error_code::unavailable,
                                    "no status from the engine: " + response.outcome.message));
                       return;
                   }
                   done(parse_status(response.body));
               });
}

void fetch_cache_events(http_client& http, const std::string& address, std::uint64_t after,
                        std::function<void(result<std::vector<cache_event>>)> done) {
    const std::string path = "/admin/cache/events?after=" + std::to_string(after);
    http.fetch(make_request("GET", address, path, status_timeout), max_response_bytes,
               [done = std::move(done)](const http_response& response) {
                   if (!response.outcome.is_complete || response.outcome.status != 200) {
                       done(failure(error_code::unavailable, "no cache events from the engine: " +
                                                                 response.outcome.message));
                       return;
                   }
                   done(parse_cache_events(response.body));
               });
}

void upload_chunk(http_client& http, const std::string& address, const std::string& version,
                  std::size_t index, std::string content, std::function<void(result<bool>)> done) {
    const std::string path = "/admin/weights/" + version + "/" + std::to_string(index);
    http_request request = make_request("PUT", address, path, chunk_timeout);
    request.body = std::move(content);
    http.fetch(std::move(request), max_response_bytes,
               [done = std::move(done)](const http_response& response) {
                   done(parse_admin_response(response));
               });
}

void request_load(http_client& http, const std::string& address, const load_request& load,
                  milliseconds timeout, std::function<void(result<bool>)> done) {
    const nlohmann::json body = {
        {"version", load.version}, {"manifest", load.manifest}, {"fencing", load.fencing_token}};
    http_request request = make_request("POST", address, "/admin/load", timeout);
    request.body = body.dump();
    http.fetch(std::move(request), max_response_bytes,
               [version = load.version, done = std::move(done)](const http_response& response) {
                   done(parse_load_response(response, version));
               });
}

} // namespace citronseam
