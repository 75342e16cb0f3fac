#include "programs/tool/tool_context.h"

#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

#include "citronseam/process/sizes.h"

namespace citronseam::tool {
namespace {

constexpr milliseconds store_timeout{3000};
constexpr milliseconds entry_timeout{2000};
constexpr std::size_t largest_answer = 64 * mebibyte;
constexpr std::size_t most_rows = 10000;

/// Calls a function that takes a callback, and waits for what the callback is given.
template<typename Value, typename Start>
result<Value> wait_for(Start start) {
    auto promise = std::make_shared<std::promise<result<Value>>>();
    auto answer = promise->get_future();
    start([promise](result<Value> value) { promise->set_value(std::move(value)); });
    return answer.get();
}

} // namespace

tool_context::tool_context(tool_options options) : options_(std::move(options)) {
    if (options_.objects.empty()) {
        options_.objects = options_.store;
    }
    store_ = std::make_unique<table_client>(http_, options_.store, options_.objects, store_timeout);
}

result<table_row> tool_context::read(std::string_view table, const std::string& key) {
    return wait_for<table_row>([&](auto done) { store_->read(table, key, done); });
}

result<std::vector<table_row>> tool_context::list(std::string_view table,
                                                  const std::string& prefix) {
    return wait_for<std::vector<table_row>>(
        [&](auto done) { store_->list(table, prefix, most_rows, done); });
}

result<table_row> tool_context::insert(std::string_view table, const std::string& key,
                                       const std::string& value) {
    return wait_for<table_row>([&](auto done) { store_->insert(table, key, value, done); });
}

result<table_row> tool_context::replace(std::string_view table, const std::string& key,
                                        const std::string& tag, const std::string& value) {
    return wait_for<table_row>([&](auto done) { store_->replace(table, key, tag, value, done); });
}

result<table_row> tool_context::remove(std::string_view table, const std::string& key,
                                       const std::string& tag) {
    return wait_for<table_row>([&](auto done) { store_->remove(table, key, tag, done); });
}

result<std::string> tool_context::put_object(const std::string& name, const std::string& content) {
    return wait_for<std::string>([&](auto done) { store_->put_object(name, content, done); });
}

result<std::string> tool_context::get_object(const std::string& name) {
    return wait_for<std::string>([&](auto done) { store_->get_object(name, done); });
}

http_answer tool_context::call(const std::string& entry, const std::string& method,
                               const std::string& path, const std::string& body) {
    http_request request;
    request.method = method;
    request.url = "http://" + entry + path;
    request.body = body;
    request.timeout = entry_timeout;
    return fetch_and_wait(http_, std::move(request), largest_answer);
}

result<nlohmann::json> tool_context::ask_entry(const std::string& method, const std::string& path,
                                               const std::string& body) {
    std::string reasons;
    for (const auto& entry : options_.entries) {
        const http_answer answer = call(entry, method, path, body);
        if (!answer.outcome.is_complete) {
            reasons.append(" ")
                .append(entry)
                .append(": ")
                .append(answer.outcome.message)
                .append(";");
            continue;
        }
        auto json = nlohmann::json::parse(answer.body, nullptr, false);
        if (answer.outcome.status >= 400) {
            const bool has_error = json.is_object() && json.contains("error");
            std::string text = entry;
            text.append(" answered ").append(has_error ? json["error"].dump() : answer.body);
            return failure(answer.outcome.status == 404 ? error_code::not_found
                                                        : error_code::invalid_argument,
                           std::move(text));
        }
        return json;
    }
    return failure(error_code::unavailable, options_.entries.empty()
                                                ? "no entry was given; use --entry HOST:PORT"
                                                : "no entry answered:" + reasons);
}

int tool_context::tell_entries(const std::string& path, const std::string& body) {
    int taken = 0;
    for (const auto& entry : options_.entries) {
        const http_answer answer = call(entry, "POST", path, body);
        taken += answer.outcome.is_complete && answer.outcome.status < 300 ? 1 : 0;
    }
    return taken;
}

int report(const error& problem) {
    std::cerr << "citronseam: " << problem.message << "\n";
    switch (problem.code) {
    case error_code::invalid_file:
    case error_code::invalid_argument:
        return not_accepted;
    case error_code::unavailable:
        return unreachable;
    case error_code::outcome_unknown:
        return unknown;
    case error_code::precondition_failed:
        return lost_race;
    default:
        return failed;
    }
}

void print(const tool_context& context, const nlohmann::ordered_json& json,
           const std::string& text) {
    if (context.options().output == output_form::json) {
        std::cout << json.dump(2) << "\n";
    } else {
        std::cout << text;
    }
}

result<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return failure(error_code::invalid_argument, path + ": the file cannot be read");
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace citronseam::tool
