#include "citronseam/connection/table_client.h"
#include "citronseam/process/sizes.h"

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_client.h"

namespace citronseam {
namespace {

constexpr std::size_t max_row_size = mebibyte;
constexpr std::size_t max_list_size = 16 * mebibyte;

constexpr int http_ok = 200;

enum class access : std::uint8_t { read, write };

/// Converts a failed exchange or a response with an error status to an error.
error to_error(const http_response& response, access kind, const std::string& what) {
    const http_outcome& outcome = response.outcome;
    const bool has_response = outcome.is_complete;
    if (has_response && outcome.status == 404) {
        return {error_code::not_found, what + " does not exist"};
    }
    if (has_response && outcome.status == 412) {
        return {error_code::precondition_failed, what + " was changed by another writer"};
    }
    const bool is_refused = has_response && outcome.status == 503;
    const bool is_sent = outcome.verdict != run_verdict::not_run;
    if (kind == access::write && is_sent && !is_refused) {
        return {error_code::outcome_unknown, "the answer for " + what + " was lost"};
    }
    const std::string reason =
        has_response ? "status " + std::to_string(outcome.status) : outcome.message;
    return {error_code::unavailable, what + " cannot be reached: " + reason};
}

bool is_success(const http_response& response) {
    return response.outcome.is_complete && response.outcome.status >= 200 &&
           response.outcome.status < 300;
}

/// @return whether the response has a whole body: one without a stated end may have been cut off
bool is_read(const http_response& response) {
    return response.outcome.is_complete && response.outcome.status == http_ok &&
           response.outcome.framing != body_framing::connection;
}

/// Requests that may be repeated also get a connection of their own: no response names its request,
/// so on a kept connection a late one to an earlier request would count as this one's.
http_request make_request(std::string method, std::string url, milliseconds timeout) {
    http_request request;
    request.method = std::move(method);
    request.url = std::move(url);
    request.timeout = timeout;
    request.may_reuse_connection = false;
    return request;
}

result<std::vector<table_row>> parse_rows(const std::string& text) {
    try {
        std::vector<table_row> rows;
        const nlohmann::json document = nlohmann::json::parse(text);
        for (const auto& entry : document.at("rows")) {
            rows.push_back({entry.at("key"), entry.at("tag"), entry.at("value")});
        }
        return rows;
    } catch (const nlohmann::json::exception& exception) {
        return failure(error_code::protocol,
                       std::string("a list of rows cannot be read: ") + exception.what());
    }
}

} // namespace

table_client::table_client(http_client& http, std::string table_url, std::string object_store_url,
                           milliseconds timeout)
    : http_(http), table_url_(std::move(table_url)), object_store_url_(std::move(object_store_url)),
      timeout_(timeout) {}

std::string table_client::row_url(std::string_view table, const std::string& key) const {
    return table_url_ + "/tables/" + std::string(table) + "/rows/" + key;
}

void table_client::read(std::string_view table, const std::string& key, row_callback callback) {
    http_.fetch(make_request("GET", row_url(table, key), timeout_), max_row_size,
                [key, callback = std::move(callback)](const http_response& response) {
                    std::string tag = find_header(response.headers, "ETag");
                    if (!is_read(response) || tag.empty()) {
                        callback(tl::unexpected(to_error(response, access::read, "row " + key)));
                        return;
                    }
                    callback(table_row{key, std::move(tag), response.body});
                });
}

void table_client::list(std::string_view table, const std::string& prefix, std::size_t limit,
                        rows_callback callback) {
    const std::string url = table_url_ + "/tables/" + std::string(table) +
                            "/rows?prefix=" + prefix + "&limit=" + std::to_string(limit);
    http_.fetch(make_request("GET", url, timeout_), max_list_size,
                [prefix, callback = std::move(callback)](const http_response& response) {
                    if (!is_read(response)) {
                        callback(
                            tl::unexpected(to_error(response, access::read, "rows " + prefix)));
                        return;
                    }
                    callback(parse_rows(response.body));
                });
}

void table_client::write(std::string method, std::string_view table, const std::string& key,
                         std::string condition, std::string tag, std::string value,
                         row_callback callback) {
    const bool leaves_row = method != "DELETE";
    // On a connection of its own libcurl also does not resend a write: the second one would fail
    // its precondition and hide that the first took effect.
    http_request request = make_request(std::move(method), row_url(table, key), timeout_);
    request.headers = {{std::move(condition), std::move(tag)},
                       {"Content-Type", "application/json"}};
    request.body = std::move(value);
    http_.fetch(std::move(request), max_row_size,
                [key, leaves_row, callback = std::move(callback)](const http_response& response) {
                    std::string new_tag = find_header(response.headers, "ETag");
                    // Without its tag the row could not be replaced later.
                    if (!is_success(response) || (leaves_row && new_tag.empty())) {
                        callback(tl::unexpected(to_error(response, access::write, "row " + key)));
                        return;
                    }
                    callback(table_row{key, std::move(new_tag), response.body});
                });
}

void table_client::insert(std::string_view table, const std::string& key, std::string value,
                          row_callback callback) {
    write("PUT", table, key, "If-None-Match", "*", std::move(value), std::move(callback));
}

void table_client::replace(std::string_view table, const std::string& key, const std::string& tag,
                           std::string value, row_callback callback) {
    write("PUT", table, key, "If-Match", tag, std::move(value), std::move(callback));
}

void table_client::remove(std::string_view table, const std::string& key, const std::string& tag,
                          row_callback callback) {
    write("DELETE", table, key, "If-Match", tag, "", std::move(callback));
}

void table_client::put_object(const std::string& name, std::string content,
                              object_callback callback) {
    http_request request = make_request("PUT", object_store_url_ + "/objects/" + name, timeout_);
    request.body = std::move(content);
    http_.fetch(std::move(request), max_object_size,
                [name, callback = std::move(callback)](const http_response& response) {
                    if (!is_success(response)) {
                        callback(
                            tl::unexpected(to_error(response, access::write, "object " + name)));
                        return;
                    }
                    callback(name);
                });
}

void table_client::get_object(const std::string& name, object_callback callback) {
    http_.fetch(make_request("GET", object_store_url_ + "/objects/" + name, timeout_),
                max_object_size, [name, callback = std::move(callback)](http_response response) {
                    if (!is_read(response)) {
                        callback(
                            tl::unexpected(to_error(response, access::read, "object " + name)));
                        return;
                    }
                    callback(std::move(response.body));
                });
}

void table_client::remove_object(const std::string& name, object_callback callback) {
    http_.fetch(
        make_request("DELETE", object_store_url_ + "/objects/" + name, timeout_), max_row_size,
        [name, callback = std::move(callback)](const http_response& response) {
            constexpr int http_not_found = 404;
            const bool is_missing =
                response.outcome.is_complete && response.outcome.status == http_not_found;
            if (!is_success(response) && !is_missing) {
                callback(tl::unexpected(to_error(response, access::write, "object " + name)));
                return;
            }
            callback(name);
        });
}

} // namespace citronseam
