#include "soak/promises.h"

#include "support/platform_server.h"

namespace citronseam::soak {
namespace {

using harness::platform_server;

std::string header(const caller_answer& answer, const std::string& name) {
    const auto found = answer.headers.find(name);
    return found == answer.headers.end() ? "" : found->second;
}

/// @return whether the request of that identifier may run only once
bool is_single_id(const std::string& id) {
    return id.rfind("book-", 0) == 0 || id.rfind("draft-once-", 0) == 0 ||
           id.rfind("later-", 0) == 0;
}

std::optional<breach> make_breach(promise broken, const soak_request& request,
                                  const caller_answer& answer, const std::string& detail) {
    return breach{broken, request.id,
                  detail + "; " + request.path() + " status " + std::to_string(answer.status) +
                      (answer.end == answer_end::complete ? ", complete" : ", not complete") +
                      ", body <" + answer.body + "> stray <" + answer.stray_bytes + ">"};
}

std::optional<breach> check_stream(const soak_request& request, const caller_answer& answer) {
    std::size_t at = 0;
    int event_count = 0;
    while (event_count < platform_server::events_per_stream && at < answer.body.size()) {
        const std::string prefix =
            "id: " + std::to_string(event_count + 1) + "\ndata: engine-zone-";
        const std::string suffix = " " + request.path() + "\n\n";
        const std::size_t size = prefix.size() + 1 + suffix.size();
        const std::string event = answer.body.substr(at, size);
        const bool is_prefix = event.compare(0, prefix.size(), prefix, 0, event.size()) == 0;
        const bool is_suffix =
            event.size() <= prefix.size() + 1 ||
            event.substr(prefix.size() + 1) == suffix.substr(0, event.size() - prefix.size() - 1);
        if (!is_prefix || !is_suffix) {
            return make_breach(promise::order, request, answer,
                               "wrong bytes at " + std::to_string(at));
        }
        event_count += event.size() == size ? 1 : 0;
        at += event.size();
    }
    if (at < answer.body.size()) {
        return make_breach(promise::order, request, answer, "bytes after the last event");
    }
    if (answer.end == answer_end::complete && event_count < platform_server::events_per_stream) {
        return make_breach(promise::order, request, answer, "complete without its last event");
    }
    return std::nullopt;
}

} // namespace

std::string soak_request::path() const {
    const auto route = kind == request_kind::guest ? request_kind::look : kind;
    return "/" + std::string(find_name(request_names, route)) + "/" + id;
}

bool is_refusal(int status) {
    constexpr int timeout = 408;
    constexpr int misdirected = 421;
    constexpr int too_many = 429;
    constexpr int unavailable = 503;
    return status == timeout || status == misdirected || status == too_many ||
           status == unavailable;
}

std::optional<breach> check_answer(const soak_request& request, const caller_answer& answer) {
    constexpr int success = 200;
    if (!answer.stray_bytes.empty()) {
        return make_breach(promise::mixed, request, answer, "bytes that are no answer");
    }
    if (answer.status == 0) {
        return std::nullopt;
    }
    const std::string seal = header(answer, "x-citronseam-response-seal");
    if (answer.status != success) {
        return seal.empty() ? std::nullopt
                            : make_breach(promise::mixed, request, answer,
                                          "sealed with a status that no server gave");
    }
    const bool is_server_right =
        seal.rfind(request.is_stream() ? "seal-of-engine-zone-" : "seal-of-desk-zone-", 0) == 0;
    if (!is_server_right || header(answer, "x-citronseam-attempt-id") != request.id) {
        return make_breach(promise::mixed, request, answer, "not the seal or id, seal " + seal);
    }
    if (request.is_stream()) {
        return check_stream(request, answer);
    }
    const std::string expected = "booked " + request.path();
    const bool is_right = answer.end == answer_end::complete ? answer.body == expected
                                                             : expected.rfind(answer.body, 0) == 0;
    return is_right ? std::nullopt
                    : make_breach(promise::mixed, request, answer, "not the server's body");
}

std::optional<needed_state> needed_configuration(const soak_request& request,
                                                 const caller_answer& answer) {
    constexpr int success = 200;
    constexpr int unknown_key = 401;
    constexpr int forbidden = 403;
    constexpr int no_route = 404;
    const bool is_route_probe = request.kind == request_kind::later;
    const bool is_key_probe = request.kind == request_kind::guest;
    switch (answer.status) {
    case success:
        return is_route_probe ? std::optional(needed_state::route)
               : is_key_probe ? std::optional(needed_state::key)
                              : std::nullopt;
    case unknown_key:
        return is_key_probe ? needed_state::no_key : needed_state::none;
    case no_route:
        return is_route_probe ? needed_state::no_route : needed_state::none;
    case forbidden:
        return needed_state::none;
    default:
        return std::nullopt;
    }
}

std::string make_id(request_kind kind, std::size_t caller, int count) {
    return std::string(find_name(request_names, kind)) + "-" + std::to_string(caller) + "-" +
           std::to_string(count);
}

std::vector<breach> check_runs(const std::map<std::string, int>& runs,
                               const std::map<std::string, int>& refused) {
    std::vector<breach> broken;
    for (const auto& [id, count] : runs) {
        if (count > 1 && is_single_id(id)) {
            broken.push_back({promise::twice, id, std::to_string(count) + " runs"});
        }
    }
    for (const auto& [id, status] : refused) {
        if (runs.count(id) > 0) {
            broken.push_back(
                {promise::refused, id, "status " + std::to_string(status) + ", but it ran"});
        }
    }
    return broken;
}

} // namespace citronseam::soak
