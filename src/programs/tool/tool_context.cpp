#include "programs/tool/tool_context.h"

#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

#include "citronseam/process/sizes.h"

namespace citronseam::tool {
namespace {

constexpr milliseconds store_request_timeout{3000};
constexpr milliseconds entry_request_timeout{2000};
constexpr std::size_t max_response_bytes = 64 * mebibyte;
constexpr std::size_t max_rows = 10000;

constexpr int http_ok = 200;
constexpr int first_failure_status = 300;

/// @return whether an entry states that it took what was sent
bool is_taken(const http_response& response) {
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    return response.outcome.is_complete && response.outcome.status < first_failure_status &&
           json.is_object() && json.contains("taken") && json.at("taken") == true;
}

/// Calls an asynchronous function and blocks until its callback receives the result.
template<typename Value, typename Start>
result<Value> call_and_wait(Start start) {
    auto promise = std::make_shared<std::promise<result<Value>>>();
    auto future = promise->get_future();
    start([promise](result<Value> value) { promise->set_value(std::move(value)); });
    return future.get();
}

} // namespace

tool_context::tool_context(tool_options options) : options_(std::move(options)) {
    if (options_.object_store_url.empty()) {
        options_.object_store_url = options_.store_url;
    }
    table_client_ = std::make_unique<table_client>(
        http_, options_.store_url, options_.object_store_url, store_request_timeout);
}

result<table_row> tool_context::read(std::string_view table, const std::string& key) {
    return call_and_wait<table_row>([&](auto done) { table_client_->read(table, key, done); });
}

result<std::vector<table_row>> tool_context::list(std::string_view table,
                                                  const std::string& prefix) {
    return call_and_wait<std::vector<table_row>>(
        [&](auto done) { table_client_->list(table, prefix, max_rows, done); });
}

result<table_row> tool_context::insert(std::string_view table, const std::string& key,
                                       const std::string& value) {
    return call_and_wait<table_row>(
        [&](auto done) { table_client_->insert(table, key, value, done); });
}

result<table_row> tool_context::replace(std::string_view table, const std::string& key,
                                        const std::string& tag, const std::string& value) {
    return call_and_wait<table_row>(
        [&](auto done) { table_client_->replace(table, key, tag, value, done); });
}

result<table_row> tool_context::remove(std::string_view table, const std::string& key,
                                       const std::string& tag) {
    return call_and_wait<table_row>(
        [&](auto done) { table_client_->remove(table, key, tag, done); });
}

result<std::string> tool_context::put_object(const std::string& name, const std::string& content) {
    return call_and_wait<std::string>(
        [&](auto done) { table_client_->put_object(name, content, done); });
}

result<std::string> tool_context::get_object(const std::string& name) {
    return call_and_wait<std::string>([&](auto done) { table_client_->get_object(name, done); });
}

http_response tool_context::send_request(const std::string& entry, const std::string& method,
                                         const std::string& path, const std::string& body) {
    http_request request;
    request.method = method;
    request.url = "http://" + entry + path;
    request.body = body;
    request.timeout = entry_request_timeout;
    // No response names its request: a late one to an earlier request would count as this one's.
    request.may_reuse_connection = false;
    return fetch_blocking(http_, std::move(request), max_response_bytes);
}

result<nlohmann::json> tool_context::query_entry(const std::string& method, const std::string& path,
                                                 const std::string& body) {
    std::string failure_reasons;
    for (const auto& entry : options_.entry_addresses) {
        const http_response response = send_request(entry, method, path, body);
        if (!response.outcome.is_complete) {
            failure_reasons.append(" ")
                .append(entry)
                .append(": ")
                .append(response.outcome.message)
                .append(";");
            continue;
        }
        auto json = nlohmann::json::parse(response.body, nullptr, false);
        if (response.outcome.status >= 400) {
            const bool has_error = json.is_object() && json.contains("error");
            std::string text = entry;
            text.append(" responded with ")
                .append(has_error ? json["error"].dump() : response.body);
            return failure(response.outcome.status == 404 ? error_code::not_found
                                                          : error_code::invalid_argument,
                           std::move(text));
        }
        if (response.outcome.status != http_ok || !json.is_object()) {
            return failure(error_code::protocol,
                           entry + " sent a response that cannot be read; run the command again");
        }
        return json;
    }
    return failure(error_code::unavailable, options_.entry_addresses.empty()
                                                ? "no entry address; use --entry HOST:PORT"
                                                : "no entry responded:" + failure_reasons);
}

int tool_context::broadcast_to_entries(const std::string& path, const std::string& body) {
    int accepted_count = 0;
    for (const auto& entry : options_.entry_addresses) {
        const http_response response = send_request(entry, "POST", path, body);
        accepted_count += is_taken(response) ? 1 : 0;
    }
    return accepted_count;
}

int print_error(const error& problem) {
    std::cerr << "citronseam: " << problem.message << "\n";
    switch (problem.code) {
    case error_code::invalid_file:
    case error_code::invalid_argument:
        return invalid_input;
    case error_code::unavailable:
        return unreachable;
    case error_code::outcome_unknown:
        return indeterminate;
    case error_code::precondition_failed:
        return conflict;
    default:
        return failed;
    }
}

void print_result(const tool_context& context, const nlohmann::ordered_json& json,
                  const std::string& text) {
    if (context.options().output == output_format::json) {
        std::cout << json.dump(2) << "\n";
    } else {
        std::cout << text;
    }
}

result<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return failure(error_code::invalid_argument, path + ": cannot open the file");
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace citronseam::tool
