#include "citronseam/connection/request_guard.h"

#include <algorithm>

#include <charconv>
#include <optional>

#include <strings.h>

namespace citronseam {
namespace {

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view line_end = "\r\n";

bool is_named(std::string_view line, std::string_view name) {
    return line.size() > name.size() && line[name.size()] == ':' &&
           strncasecmp(line.data(), name.data(), name.size()) == 0;
}

std::string_view value_of(std::string_view line) {
    std::string_view value = line.substr(line.find(':') + 1);
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
        value.remove_prefix(1);
    }
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
        value.remove_suffix(1);
    }
    return value;
}

std::optional<std::uint64_t> parse_length(std::string_view text) {
    std::uint64_t length = 0;
    const char* end = text.data() + text.size();
    const auto [rest, problem] = std::from_chars(text.data(), end, length);
    if (problem != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return length;
}

struct body_announcement {
    std::optional<std::uint64_t> length;
    bool is_chunked{false};
    guard_finding finding{guard_finding::accepted};
};

void read_line(std::string_view line, body_announcement& body) {
    if (is_named(line, "Content-Length")) {
        const auto length = parse_length(value_of(line));
        const bool is_different = body.length && length && *body.length != *length;
        if (!length || is_different) {
            body.finding = guard_finding::bad_length;
        }
        body.length = length;
    }
    if (is_named(line, "Transfer-Encoding")) {
        const std::string_view coding = value_of(line);
        body.is_chunked = true;
        if (coding.size() != 7 || strncasecmp(coding.data(), "chunked", 7) != 0) {
            body.finding = guard_finding::bad_coding;
        }
    }
}

} // namespace

guard_result check_head(std::string_view bytes, std::uint64_t largest_body,
                        std::size_t longest_head) noexcept {
    longest_head = std::min(longest_head, largest_head);
    guard_result checked;
    const auto end = bytes.find(head_end);
    if (end == std::string_view::npos || end > longest_head) {
        const bool is_large = bytes.size() > longest_head;
        checked.finding = is_large ? guard_finding::head_too_large : guard_finding::incomplete;
        return checked;
    }
    body_announcement body;
    std::string_view lines = bytes.substr(0, end);
    while (!lines.empty()) {
        const auto stop = lines.find(line_end);
        read_line(lines.substr(0, stop), body);
        lines = stop == std::string_view::npos ? std::string_view{}
                                               : lines.substr(stop + line_end.size());
    }
    checked.finding = body.finding;
    checked.head_size = end + head_end.size();
    checked.body_size = body.length.value_or(0);
    checked.is_chunked = body.is_chunked;
    if (body.finding == guard_finding::accepted && body.is_chunked && body.length) {
        checked.finding = guard_finding::bad_coding;
    }
    if (checked.finding == guard_finding::accepted && checked.body_size > largest_body) {
        checked.finding = guard_finding::body_too_large;
    }
    return checked;
}

int http_status(guard_finding finding) noexcept {
    switch (finding) {
    case guard_finding::body_too_large:
        return 413;
    case guard_finding::head_too_large:
        return 431;
    default:
        return 400;
    }
}

std::string_view message(guard_finding finding) noexcept {
    switch (finding) {
    case guard_finding::head_too_large:
        return "the head of the request is longer than 32 KiB";
    case guard_finding::body_too_large:
        return "the body of the request is longer than accepted here";
    case guard_finding::bad_length:
        return "Content-Length must be one non-negative number";
    case guard_finding::bad_coding:
        return "Transfer-Encoding must be 'chunked' and stand without Content-Length";
    default:
        return "the request was refused";
    }
}

} // namespace citronseam
