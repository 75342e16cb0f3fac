#include "citronseam/connection/http_responder.h"

#include <array>
#include <cstdio>

#include "connection/server_connection.h"

namespace citronseam {
namespace {

struct status_text {
    int status;
    std::string_view text;
};

constexpr int unavailable_status = 503;

constexpr std::array<status_text, 26> status_texts{{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {206, "Partial Content"},
    {301, "Moved Permanently"},
    {302, "Found"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {412, "Precondition Failed"},
    {413, "Content Too Large"},
    {416, "Range Not Satisfiable"},
    {421, "Misdirected Request"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {499, "Client Closed Request"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

std::string_view reason_phrase(int status) {
    for (const auto& row : status_texts) {
        if (row.status == status) {
            return row.text;
        }
    }
    return "Status";
}

bool has_no_line_break(std::string_view text) {
    return text.find_first_of("\r\n") == std::string_view::npos;
}

std::string format_head(int status, const std::vector<http_header>& headers) {
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason_phrase(status));
    text += "\r\n";
    for (const auto& header : headers) {
        // A line break in a value would let a backend server inject headers.
        if (has_no_line_break(header.name) && has_no_line_break(header.value)) {
            text += header.name + ": " + header.value + "\r\n";
        }
    }
    return text;
}

bool has_no_body(int status) {
    return status == 204 || status == 304;
}

} // namespace

http_responder::http_responder(std::shared_ptr<server_connection> connection, bool is_head_request,
                               bool are_connections_scarce)
    : connection_(std::move(connection)), is_head_request_(is_head_request),
      are_connections_scarce_(are_connections_scarce) {}

http_responder::~http_responder() {
    abort();
}

void http_responder::respond(int status, const std::vector<http_header>& headers,
                             std::string_view body) {
    if (state_ != state::waiting) {
        return;
    }
    // The client repeats the request on a new connection, and would keep this one until it is idle
    // for too long.
    if (are_connections_scarce_ && status == unavailable_status) {
        close_after_response();
    }
    std::string text = format_head(status, headers).append(closing_header());
    // The length of the answer to a HEAD request would be that of the body which GET gets.
    if (!is_head_request_ && !has_no_body(status)) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n";
    if (!is_head_request_ && !has_no_body(status)) {
        text += body;
    }
    state_ = state::done;
    connection_->send_last(std::move(text));
}

void http_responder::respond_until_close(int status, const std::vector<http_header>& headers,
                                         std::string_view body) {
    if (state_ != state::waiting) {
        return;
    }
    close_after_response();
    state_ = state::done;
    connection_->send_last(
        format_head(status, headers).append(closing_header()).append("\r\n").append(body));
}

void http_responder::begin(int status, const std::vector<http_header>& headers) {
    if (state_ != state::waiting) {
        return;
    }
    state_ = state::streaming;
    connection_->send(format_head(status, headers).append(closing_header()) +
                      "Transfer-Encoding: chunked\r\n\r\n");
}

void http_responder::close_after_response() {
    closes_connection_ = true;
    connection_->close_after_response();
}

std::string_view http_responder::closing_header() const noexcept {
    return closes_connection_ ? "Connection: close\r\n" : "";
}

void http_responder::write(std::string_view data) {
    if (state_ != state::streaming || data.empty() || is_head_request_) {
        return;
    }
    std::array<char, 24> length{};
    std::snprintf(length.data(), length.size(), "%zx\r\n", data.size());
    std::string text = length.data();
    text.append(data).append("\r\n");
    connection_->send(std::move(text));
}

void http_responder::finish() {
    if (state_ != state::streaming) {
        return;
    }
    if (is_head_request_) {
        end();
    } else {
        state_ = state::done;
        connection_->send_last("0\r\n\r\n");
    }
}

void http_responder::abort() {
    if (state_ == state::done) {
        return;
    }
    state_ = state::done;
    connection_->close_now();
}

void http_responder::end() {
    state_ = state::done;
    connection_->end_response();
}

bool http_responder::is_open() const {
    return connection_->is_open();
}

bool http_responder::has_client_left() const {
    return connection_->has_client_left();
}

void http_responder::on_disconnect(std::function<void()> callback) {
    connection_->on_disconnect(std::move(callback));
}

} // namespace citronseam
