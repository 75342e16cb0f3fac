#include "programs/entry/caller_request_parser.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/closest_word.h"

namespace citronseam {
namespace {

constexpr std::string_view service_path_prefix = "/services/";
constexpr std::size_t hashed_prompt_bytes = 256;
constexpr std::size_t max_key_bytes = 512;
constexpr std::string_view default_workspace = "default";

bool is_completion(const std::string& path) {
    return path == "/v1/completions" || path == "/v1/chat/completions";
}

/// Headers that apply to this hop only or that the entry sets itself; they are not forwarded. The
/// values are placeholders: find_header() returns an empty value for an absent header.
bool is_dropped_header(const std::string& name) {
    static const std::vector<http_header> names{
        {"Host", "x"}, {"X-Request-Timeout-Ms", "x"}, {"X-Request-Id", "x"}, {"X-Priority", "x"}};
    return !find_header(names, name).empty();
}

/// The text that the model reads. Requests whose texts begin alike can share an engine's prefix
/// cache.
std::string extract_prompt(const nlohmann::json& body) {
    const auto prompt = body.find("prompt");
    if (prompt != body.end() && prompt->is_string()) {
        return prompt->get<std::string>();
    }
    const auto messages = body.find("messages");
    return messages == body.end() ? std::string{} : messages->dump();
}

result<bool> parse_completion(const server_request& request, caller_request& parsed) {
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return failure(error_code::invalid_argument, "the body must be a JSON object");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return failure(error_code::invalid_argument,
                       "the field 'model' is missing; it names the service");
    }
    parsed.service = model->get<std::string>();
    parsed.target = request.target;
    const std::string prompt = extract_prompt(body);
    if (!prompt.empty()) {
        parsed.prompt_prefix_hash =
            hash_text(std::string_view(prompt).substr(0, hashed_prompt_bytes));
    }
    return true;
}

void parse_service_path(const server_request& request, caller_request& parsed) {
    const std::string rest = request.target.substr(service_path_prefix.size());
    const auto end = rest.find_first_of("/?");
    parsed.service = rest.substr(0, end);
    parsed.target = end == std::string::npos ? "/" : rest.substr(end);
    if (parsed.target.front() != '/') {
        parsed.target.insert(parsed.target.begin(), '/');
    }
}

result<milliseconds> parse_timeout(const server_request& request, milliseconds max_timeout) {
    const std::string text = find_header(request.headers, "X-Request-Timeout-Ms");
    if (text.empty()) {
        return max_timeout;
    }
    std::uint32_t value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, parse_error] = std::from_chars(text.data(), end, value);
    if (parse_error != std::errc{} || rest != end || value == 0) {
        return failure(error_code::invalid_argument,
                       "X-Request-Timeout-Ms must be a positive number, found '" + text + "'");
    }
    return std::min(milliseconds(value), max_timeout);
}

void resolve_workspace(const configuration& config, const server_request& request,
                       caller_request& parsed) {
    parsed.workspace = find_header(request.headers, "X-Workspace");
    if (parsed.workspace.empty()) {
        parsed.workspace = default_workspace;
    }
    const workspace* known = find_workspace(config, parsed.workspace);
    parsed.workspace_label = known == nullptr ? "other" : parsed.workspace;
    if (known != nullptr) {
        parsed.weight = known->weight;
        parsed.workspace_queue_limit = known->queue_limit;
    }
}

std::vector<std::string> service_names(const configuration& config) {
    std::vector<std::string> names;
    for (const auto& entry : config.services) {
        names.push_back(entry.name);
    }
    return names;
}

result<const service*> require_service(const configuration& config, const std::string& name) {
    const service* found = find_service(config, name);
    if (found == nullptr) {
        const std::string suggestion = closest_word(name, service_names(config));
        return failure(error_code::not_found,
                       "there is no service '" + name + "'" +
                           (suggestion.empty() ? "" : "; the closest is '" + suggestion + "'"));
    }
    return found;
}

result<bool> parse_idempotency_key(const server_request& request, caller_request& parsed) {
    parsed.idempotency_key = find_header(request.headers, "Idempotency-Key");
    if (parsed.is_idempotent) {
        return true;
    }
    if (parsed.idempotency_key.empty()) {
        return failure(error_code::invalid_argument,
                       "this request may not be repeated, so it needs an Idempotency-Key header");
    }
    if (parsed.idempotency_key.size() > max_key_bytes) {
        return failure(error_code::invalid_argument,
                       "the Idempotency-Key is longer than 512 bytes");
    }
    return true;
}

} // namespace

result<caller_request> parse_caller_request(const configuration& config, server_request request,
                                            std::string request_id) {
    caller_request parsed;
    if (is_completion(request.path) && request.method == "POST") {
        const auto completion = parse_completion(request, parsed);
        if (!completion) {
            return tl::unexpected(completion.error());
        }
    } else if (request.path.rfind(service_path_prefix, 0) == 0) {
        parse_service_path(request, parsed);
    } else {
        return failure(error_code::not_found,
                       "no such path: " + request.method + " " + request.path);
    }
    const auto found = require_service(config, parsed.service);
    if (!found) {
        return tl::unexpected(found.error());
    }
    const service& target = **found;
    const auto timeout = parse_timeout(request, target.limits.request_timeout);
    if (!timeout) {
        return tl::unexpected(timeout.error());
    }
    parsed.timeout = *timeout;
    parsed.method = request.method;
    parsed.is_idempotent = is_idempotent(target, parsed.method, parsed.target);
    const auto key = parse_idempotency_key(request, parsed);
    if (!key) {
        return tl::unexpected(key.error());
    }
    resolve_workspace(config, request, parsed);
    parsed.priority = parse_priority(find_header(request.headers, "X-Priority"));
    parsed.request_id = find_header(request.headers, "X-Request-Id");
    if (parsed.request_id.empty()) {
        parsed.request_id = std::move(request_id);
    }
    for (const auto& header : request.headers) {
        if (!is_dropped_header(header.name)) {
            parsed.headers.push_back(header);
        }
    }
    parsed.headers.push_back({"X-Request-Id", parsed.request_id});
    parsed.body = std::move(request.body);
    parsed.memory = std::move(request.memory);
    parsed.fingerprint =
        request_fingerprint(parsed.service, parsed.method, parsed.target, parsed.body);
    return parsed;
}

} // namespace citronseam
