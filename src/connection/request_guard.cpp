#include "citronseam/connection/request_guard.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "citronseam/connection/header_syntax.h"

namespace citronseam {
namespace {

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view line_end = "\r\n";

bool is_header(std::string_view line, std::string_view name) {
    return equals_ignoring_case(line.substr(0, line.find(':')), name);
}

std::string_view header_value(std::string_view line) {
    return trim_white_space(line.substr(line.find(':') + 1));
}

std::optional<std::uint64_t> parse_length(std::string_view text) {
    std::uint64_t length = 0;
    const char* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, length);
    if (ec != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return length;
}

struct body_framing {
    std::optional<std::uint64_t> length;
    bool is_chunked{false};
    head_check_status status{head_check_status::accepted};
};

/// Backend servers must not find other fields in a forwarded head than this system did.
void parse_header_line(std::string_view line, body_framing& body) {
    if (!is_header_field(line)) {
        body.status = head_check_status::invalid_field;
        return;
    }
    if (is_header(line, "Content-Length")) {
        const auto length = parse_length(header_value(line));
        const bool is_conflicting = body.length && length && *body.length != *length;
        if (!length || is_conflicting) {
            body.status = head_check_status::invalid_content_length;
        }
        body.length = length;
    }
    if (is_header(line, "Transfer-Encoding")) {
        body.is_chunked = true;
        if (!equals_ignoring_case(header_value(line), "chunked")) {
            body.status = head_check_status::invalid_transfer_encoding;
        }
    }
}

/// Removes the first line with its terminator.
/// @return the line without its terminator
std::string_view take_line(std::string_view& lines) {
    const auto stop = lines.find(line_end);
    const std::string_view line = lines.substr(0, stop);
    lines =
        stop == std::string_view::npos ? std::string_view{} : lines.substr(stop + line_end.size());
    return line;
}

} // namespace

head_check_result check_head(std::string_view bytes, std::uint64_t max_body_size,
                             std::size_t head_limit) noexcept {
    head_limit = std::min(head_limit, max_head_size);
    head_check_result checked;
    const auto end = bytes.find(head_end);
    if (end == std::string_view::npos || end > head_limit) {
        const bool is_large = bytes.size() > head_limit;
        checked.status =
            is_large ? head_check_status::head_too_large : head_check_status::incomplete;
        return checked;
    }
    body_framing body;
    std::string_view lines = bytes.substr(0, end);
    const std::string_view request_line = take_line(lines);
    if (has_control_character(request_line)) {
        body.status = head_check_status::invalid_request_line;
    }
    while (!lines.empty()) {
        parse_header_line(take_line(lines), body);
    }
    checked.status = body.status;
    checked.head_size = end + head_end.size();
    checked.body_size = body.length.value_or(0);
    checked.is_chunked = body.is_chunked;
    if (body.status == head_check_status::accepted && body.is_chunked && body.length) {
        checked.status = head_check_status::invalid_transfer_encoding;
    }
    if (checked.status == head_check_status::accepted && checked.body_size > max_body_size) {
        checked.status = head_check_status::body_too_large;
    }
    return checked;
}

int http_status(head_check_status status) noexcept {
    switch (status) {
    case head_check_status::body_too_large:
        return 413;
    case head_check_status::head_too_large:
        return 431;
    default:
        return 400;
    }
}

std::string_view message(head_check_status status) noexcept {
    switch (status) {
    case head_check_status::head_too_large:
        return "the head of the request is longer than 32 KiB";
    case head_check_status::body_too_large:
        return "the body of the request is longer than accepted here";
    case head_check_status::invalid_content_length:
        return "Content-Length must be one non-negative number";
    case head_check_status::invalid_transfer_encoding:
        return "Transfer-Encoding must be 'chunked' and stand without Content-Length";
    case head_check_status::invalid_request_line:
        return "the request line has a control character";
    case head_check_status::invalid_field:
        return "each header field must be a name, a colon and a value without control characters";
    default:
        return "the request was refused";
    }
}

} // namespace citronseam
