#include "citronseam/connection/response_head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

#include "citronseam/connection/header_syntax.h"
#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<body_framing>, 4> framing_names{{
    {body_framing::none, "none"},
    {body_framing::length, "length"},
    {body_framing::chunks, "chunks"},
    {body_framing::connection, "connection"},
}};

constexpr std::array<enum_name<head_defect>, 8> defect_names{{
    {head_defect::none, "none"},
    {head_defect::too_long, "too_long"},
    {head_defect::no_room, "no_room"},
    {head_defect::status_line, "status_line"},
    {head_defect::line_ending, "line_ending"},
    {head_defect::header_field, "header_field"},
    {head_defect::content_length, "content_length"},
    {head_defect::transfer_coding, "transfer_coding"},
}};

constexpr std::string_view line_terminator = "\r\n";
/// Interim statuses that a server may send unasked (RFC 9110, section 15.2; RFC 2518, section 10.1;
/// RFC 8297). 101 answers a request to upgrade, which is never made.
constexpr std::array<int, 3> interim_statuses{100, 102, 103};
constexpr int first_final_status = 200;
constexpr int last_final_status = 599;
constexpr int no_content = 204;
constexpr int not_modified = 304;

bool is_digits(std::string_view text) {
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

constexpr std::string_view version_start = "HTTP/1.";
constexpr std::size_t version_size = 8; // HTTP/1.1
constexpr std::size_t status_size = 3;

std::string_view find_status(std::string_view line) {
    return line.substr(std::min(line.size(), version_size + 1), status_size);
}

bool starts_with_status(std::string_view line) {
    const std::string_view status = find_status(line);
    return line.substr(0, version_start.size()) == version_start && line.size() > version_size &&
           line[version_size] == ' ' && is_digits(line.substr(version_start.size(), 1)) &&
           status.size() == status_size && is_digits(status);
}

/// @return whether a status line begins inside a line: a head broke off there, and another one,
/// such as that of the next response on the connection, followed
bool is_continued_by_response(std::string_view line) {
    for (auto found = line.find(version_start, 1); found != std::string_view::npos;
         found = line.find(version_start, found + 1)) {
        if (starts_with_status(line.substr(found))) {
            return true;
        }
    }
    return false;
}

bool is_valid_status(int status) {
    const bool is_interim = std::find(interim_statuses.begin(), interim_statuses.end(), status) !=
                            interim_statuses.end();
    return is_interim || (status >= first_final_status && status <= last_final_status);
}

bool read_status_line(response_head& head, std::string_view line) {
    const std::string_view status = find_status(line);
    const std::string_view rest =
        line.substr(std::min(line.size(), version_size + 1 + status_size));
    const bool is_status_line = starts_with_status(line) && !is_continued_by_response(line) &&
                                (rest.empty() || rest.front() == ' ') &&
                                !has_control_character(line);
    const std::size_t received_bytes = head.received_bytes;
    head = {};
    head.received_bytes = received_bytes;
    int code = 0;
    std::from_chars(status.data(), status.data() + status.size(), code);
    if (!is_status_line || !is_valid_status(code)) {
        head.defect = head_defect::status_line;
        return false;
    }
    head.status = code;
    return true;
}

head_defect read_content_length(response_head& head, std::string_view value) {
    std::uint64_t length = 0;
    const auto read = std::from_chars(value.data(), value.data() + value.size(), length);
    const bool is_number = is_digits(value) && read.ec == std::errc{};
    const bool is_other = head.content_length && *head.content_length != length;
    if (!is_number || is_other) {
        return head_defect::content_length;
    }
    head.content_length = length;
    return head.is_chunked ? head_defect::transfer_coding : head_defect::none;
}

head_defect read_transfer_coding(response_head& head, std::string_view value) {
    const bool is_alone = !head.is_chunked && !head.content_length;
    head.is_chunked = true;
    return is_alone && equals_ignoring_case(value, "chunked") ? head_defect::none
                                                              : head_defect::transfer_coding;
}

head_defect read_header_field(response_head& head, std::string_view line) {
    const auto colon = line.find(':');
    const std::string_view field_name = line.substr(0, colon);
    if (colon == std::string_view::npos || field_name.empty() ||
        std::any_of(field_name.begin(), field_name.end(), is_white_space) ||
        has_control_character(line) || is_continued_by_response(line)) {
        return head_defect::header_field;
    }
    if (head.headers.size() >= max_response_fields) {
        return head_defect::too_long;
    }
    const std::string_view value = trim_white_space(line.substr(colon + 1));
    head.headers.push_back({std::string(field_name), std::string(value)});
    if (equals_ignoring_case(field_name, "Content-Length")) {
        return read_content_length(head, value);
    }
    if (equals_ignoring_case(field_name, "Transfer-Encoding")) {
        return read_transfer_coding(head, value);
    }
    return head_defect::none;
}

} // namespace

std::string_view name(body_framing framing) noexcept {
    return find_name(framing_names, framing);
}

std::string_view name(head_defect defect) noexcept {
    return find_name(defect_names, defect);
}

bool read_head_line(response_head& head, std::string_view line) {
    if (head.defect != head_defect::none) {
        return false;
    }
    head.received_bytes += line.size();
    if (head.received_bytes > max_response_head_bytes) {
        head.defect = head_defect::too_long;
        return false;
    }
    if (is_final_head_whole(head)) {
        return true;
    }
    const bool is_terminated = line.size() >= line_terminator.size() &&
                               line.substr(line.size() - line_terminator.size()) == line_terminator;
    if (!is_terminated) {
        head.defect = head_defect::line_ending;
        return false;
    }
    line.remove_suffix(line_terminator.size());
    const bool is_first_line = head.status == 0 || head.is_whole;
    if (is_first_line) {
        return read_status_line(head, line);
    }
    if (line.empty()) {
        head.is_whole = true;
        return true;
    }
    head.defect = read_header_field(head, line);
    return head.defect == head_defect::none;
}

bool is_final_head_whole(const response_head& head) noexcept {
    return head.is_whole && head.status >= first_final_status;
}

body_framing find_framing(const response_head& head, bool is_head_request) noexcept {
    if (is_head_request || head.status == no_content || head.status == not_modified) {
        return body_framing::none;
    }
    if (head.is_chunked) {
        return body_framing::chunks;
    }
    return head.content_length ? body_framing::length : body_framing::connection;
}

} // namespace citronseam
