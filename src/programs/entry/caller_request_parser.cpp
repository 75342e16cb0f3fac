#include "programs/entry/caller_request_parser.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/closest_word.h"

namespace citronseam {
namespace {

constexpr std::string_view plain_base = "/services/";
constexpr std::size_t prefix_length = 256;
constexpr std::size_t longest_key = 512;
constexpr std::string_view default_workspace = "default";

bool is_completion(const std::string& path) {
    return path == "/v1/completions" || path == "/v1/chat/completions";
}

/// Headers that concern this hop only, or that the entry sets itself.
bool is_own_header(const std::string& name) {
    static const std::vector<http_header> names{
        {"Host", "x"}, {"X-Request-Timeout-Ms", "x"}, {"X-Request-Id", "x"}, {"X-Priority", "x"}};
    return !find_header(names, name).empty();
}

/// The beginning of what the model reads; requests that share it can share cached work.
std::string prompt_of(const nlohmann::json& body) {
    const auto prompt = body.find("prompt");
    if (prompt != body.end() && prompt->is_string()) {
        return prompt->get<std::string>();
    }
    const auto messages = body.find("messages");
    return messages == body.end() ? std::string{} : messages->dump();
}

result<bool> read_completion(const server_request& request, caller_request& read) {
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return failure(error_code::invalid_argument, "the body must be a JSON object");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return failure(error_code::invalid_argument,
                       "the field 'model' is missing; it names the service");
    }
    read.service = model->get<std::string>();
    read.target = request.target;
    const std::string prompt = prompt_of(body);
    if (!prompt.empty()) {
        read.prefix = hash_text(std::string_view(prompt).substr(0, prefix_length));
    }
    return true;
}

void read_plain(const server_request& request, caller_request& read) {
    const std::string rest = request.target.substr(plain_base.size());
    const auto end = rest.find_first_of("/?");
    read.service = rest.substr(0, end);
    read.target = end == std::string::npos ? "/" : rest.substr(end);
    if (read.target.front() != '/') {
        read.target.insert(read.target.begin(), '/');
    }
}

result<milliseconds> read_budget(const server_request& request, milliseconds longest) {
    const std::string text = find_header(request.headers, "X-Request-Timeout-Ms");
    if (text.empty()) {
        return longest;
    }
    std::uint32_t value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, problem] = std::from_chars(text.data(), end, value);
    if (problem != std::errc{} || rest != end || value == 0) {
        return failure(error_code::invalid_argument,
                       "X-Request-Timeout-Ms must be a positive number, found '" + text + "'");
    }
    return std::min(milliseconds(value), longest);
}

void read_workspace(const configuration& config, const server_request& request,
                    caller_request& read) {
    read.workspace = find_header(request.headers, "X-Workspace");
    if (read.workspace.empty()) {
        read.workspace = default_workspace;
    }
    const workspace* known = find_workspace(config, read.workspace);
    read.workspace_label = known == nullptr ? "other" : read.workspace;
    if (known != nullptr) {
        read.weight = known->weight;
        read.workspace_limit = known->queue_limit;
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
        const std::string near = closest_word(name, service_names(config));
        return failure(error_code::not_found,
                       "there is no service '" + name + "'" +
                           (near.empty() ? "" : "; the closest is '" + near + "'"));
    }
    return found;
}

result<bool> read_key(const server_request& request, caller_request& read) {
    read.key = find_header(request.headers, "Idempotency-Key");
    if (read.is_idempotent) {
        return true;
    }
    if (read.key.empty()) {
        return failure(error_code::invalid_argument,
                       "this request may not be repeated, so it needs an Idempotency-Key header");
    }
    if (read.key.size() > longest_key) {
        return failure(error_code::invalid_argument,
                       "the Idempotency-Key is longer than 512 bytes");
    }
    return true;
}

} // namespace

result<caller_request> read_caller_request(const configuration& config, server_request request,
                                           std::string request_id) {
    caller_request read;
    if (is_completion(request.path) && request.method == "POST") {
        const auto completion = read_completion(request, read);
        if (!completion) {
            return tl::unexpected(completion.error());
        }
    } else if (request.path.rfind(plain_base, 0) == 0) {
        read_plain(request, read);
    } else {
        return failure(error_code::not_found,
                       "no such path: " + request.method + " " + request.path);
    }
    const auto found = require_service(config, read.service);
    if (!found) {
        return tl::unexpected(found.error());
    }
    const service& target = **found;
    const auto budget = read_budget(request, target.limits.request_timeout);
    if (!budget) {
        return tl::unexpected(budget.error());
    }
    read.budget = *budget;
    read.method = request.method;
    read.is_idempotent = is_idempotent(target, read.method, read.target);
    const auto key = read_key(request, read);
    if (!key) {
        return tl::unexpected(key.error());
    }
    read_workspace(config, request, read);
    read.priority = parse_priority(find_header(request.headers, "X-Priority"));
    read.request_id = find_header(request.headers, "X-Request-Id");
    if (read.request_id.empty()) {
        read.request_id = std::move(request_id);
    }
    for (const auto& header : request.headers) {
        if (!is_own_header(header.name)) {
            read.headers.push_back(header);
        }
    }
    read.headers.push_back({"X-Request-Id", read.request_id});
    read.body = std::move(request.body);
    read.fingerprint = request_fingerprint(read.service, read.method, read.target, read.body);
    return read;
}

} // namespace citronseam
