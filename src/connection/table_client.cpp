#include "citronseam/connection/table_client.h"
#include "citronseam/process/sizes.h"

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_client.h"

namespace citronseam {
namespace {

constexpr std::size_t largest_row = mebibyte;
constexpr std::size_t largest_list = 16 * mebibyte;
constexpr std::size_t largest_object = 64 * mebibyte;

enum class access : std::uint8_t { read, write };

/// Turns an exchange that failed, or an answer with an error status, into an error.
error to_error(const http_answer& answer, access kind, const std::string& what) {
    const http_outcome& outcome = answer.outcome;
    const bool is_answered = outcome.is_complete;
    if (is_answered && outcome.status == 404) {
        return {error_code::not_found, what + " does not exist"};
    }
    if (is_answered && outcome.status == 412) {
        return {error_code::precondition_failed, what + " was changed by another writer"};
    }
    const bool is_refused = is_answered && outcome.status == 503;
    const bool is_sent = outcome.verdict != run_verdict::not_run;
    if (kind == access::write && is_sent && !is_refused) {
        return {error_code::outcome_unknown, "the answer for " + what + " was lost"};
    }
    const std::string reason =
        is_answered ? "status " + std::to_string(outcome.status) : outcome.message;
    return {error_code::unavailable, what + " cannot be reached: " + reason};
}

bool is_success(const http_answer& answer) {
    return answer.outcome.is_complete && answer.outcome.status >= 200 &&
           answer.outcome.status < 300;
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

table_client::table_client(http_client& http, std::string table, std::string objects,
                           milliseconds timeout)
    : http_(http), table_(std::move(table)), objects_(std::move(objects)), timeout_(timeout) {}

std::string table_client::row_url(std::string_view table, const std::string& key) const {
    return table_ + "/tables/" + std::string(table) + "/rows/" + key;
}

void table_client::read(std::string_view table, const std::string& key, row_callback done) {
    http_request request;
    request.url = row_url(table, key);
    request.timeout = timeout_;
    http_.fetch(std::move(request), largest_row,
                [key, done = std::move(done)](const http_answer& answer) {
                    if (!is_success(answer)) {
                        done(tl::unexpected(to_error(answer, access::read, "row " + key)));
                        return;
                    }
                    done(table_row{key, find_header(answer.headers, "ETag"), answer.body});
                });
}

void table_client::list(std::string_view table, const std::string& prefix, std::size_t most,
                        rows_callback done) {
    http_request request;
    request.url = table_ + "/tables/" + std::string(table) + "/rows?prefix=" + prefix +
                  "&limit=" + std::to_string(most);
    request.timeout = timeout_;
    http_.fetch(std::move(request), largest_list,
                [prefix, done = std::move(done)](const http_answer& answer) {
                    if (!is_success(answer)) {
                        done(tl::unexpected(to_error(answer, access::read, "rows " + prefix)));
                        return;
                    }
                    done(parse_rows(answer.body));
                });
}

void table_client::write(std::string method, std::string_view table, const std::string& key,
                         std::string condition, std::string tag, std::string value,
                         row_callback done) {
    http_request request;
    request.method = std::move(method);
    request.url = row_url(table, key);
    request.headers = {{std::move(condition), std::move(tag)},
                       {"Content-Type", "application/json"}};
    request.body = std::move(value);
    request.timeout = timeout_;
    // libcurl must not repeat a write by itself: the second one would fail its condition and hide
    // that the first took effect.
    request.may_reuse_connection = false;
    http_.fetch(std::move(request), largest_row,
                [key, done = std::move(done)](const http_answer& answer) {
                    if (!is_success(answer)) {
                        done(tl::unexpected(to_error(answer, access::write, "row " + key)));
                        return;
                    }
                    done(table_row{key, find_header(answer.headers, "ETag"), answer.body});
                });
}

void table_client::insert(std::string_view table, const std::string& key, std::string value,
                          row_callback done) {
    write("PUT", table, key, "If-None-Match", "*", std::move(value), std::move(done));
}

void table_client::replace(std::string_view table, const std::string& key, const std::string& tag,
                           std::string value, row_callback done) {
    write("PUT", table, key, "If-Match", tag, std::move(value), std::move(done));
}

void table_client::remove(std::string_view table, const std::string& key, const std::string& tag,
                          row_callback done) {
    write("DELETE", table, key, "If-Match", tag, "", std::move(done));
}

void table_client::put_object(const std::string& name, std::string content, object_callback done) {
    http_request request;
    request.method = "PUT";
    request.url = objects_ + "/objects/" + name;
    request.body = std::move(content);
    request.timeout = timeout_;
    http_.fetch(std::move(request), largest_object,
                [name, done = std::move(done)](const http_answer& answer) {
                    if (!is_success(answer)) {
                        done(tl::unexpected(to_error(answer, access::write, "object " + name)));
                        return;
                    }
                    done(name);
                });
}

void table_client::get_object(const std::string& name, object_callback done) {
    http_request request;
    request.url = objects_ + "/objects/" + name;
    request.timeout = timeout_;
    http_.fetch(std::move(request), largest_object,
                [name, done = std::move(done)](http_answer answer) {
                    if (!is_success(answer)) {
                        done(tl::unexpected(to_error(answer, access::read, "object " + name)));
                        return;
                    }
                    done(std::move(answer.body));
                });
}

void table_client::remove_object(const std::string& name, object_callback done) {
    http_request request;
    request.method = "DELETE";
    request.url = objects_ + "/objects/" + name;
    request.timeout = timeout_;
    http_.fetch(std::move(request), largest_row,
                [name, done = std::move(done)](const http_answer& answer) {
                    constexpr int not_there = 404;
                    if (!is_success(answer) && answer.outcome.status != not_there) {
                        done(tl::unexpected(to_error(answer, access::write, "object " + name)));
                        return;
                    }
                    done(name);
                });
}

} // namespace citronseam
