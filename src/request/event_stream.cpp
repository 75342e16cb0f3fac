#include "citronseam/request/event_stream.h"

#include <charconv>

namespace citronseam {
namespace {

constexpr std::string_view event_terminator = "\n\n";
constexpr std::string_view event_terminator_crlf = "\r\n\r\n";
constexpr std::string_view id_field = "id:";

/// @return size in bytes of the first event with its terminator, 0 when it is incomplete
std::size_t event_size(std::string_view text) {
    const auto plain = text.find(event_terminator);
    const auto crlf = text.find(event_terminator_crlf);
    if (plain == std::string_view::npos && crlf == std::string_view::npos) {
        return 0;
    }
    if (crlf < plain) {
        return crlf + event_terminator_crlf.size();
    }
    return plain + event_terminator.size();
}

std::optional<std::uint64_t> parse_event_id(std::string_view event) {
    while (!event.empty()) {
        const auto line_end = event.find('\n');
        std::string_view line = event.substr(0, line_end);
        if (line.substr(0, id_field.size()) == id_field) {
            line.remove_prefix(id_field.size());
            while (!line.empty() && line.front() == ' ') {
                line.remove_prefix(1);
            }
            line = line.substr(0, line.find_last_not_of(" \r") + 1);
            std::uint64_t number = 0;
            const char* end = line.data() + line.size();
            const auto read = std::from_chars(line.data(), end, number);
            const bool is_number = read.ec == std::errc{} && read.ptr == end;
            return is_number ? std::optional(number) : std::nullopt;
        }
        event =
            line_end == std::string_view::npos ? std::string_view{} : event.substr(line_end + 1);
    }
    return std::nullopt;
}

} // namespace

bool feed(event_buffer& buffer, std::string_view bytes) {
    buffer.pending.append(bytes);
    return buffer.pending.size() <= max_event_bytes || event_size(buffer.pending) > 0;
}

std::optional<stream_event> next_event(event_buffer& buffer) {
    const std::size_t size = event_size(buffer.pending);
    if (size == 0) {
        return std::nullopt;
    }
    stream_event event;
    event.bytes = buffer.pending.substr(0, size);
    event.id = parse_event_id(event.bytes);
    buffer.pending.erase(0, size);
    return event;
}

bool is_comment(const stream_event& event) noexcept {
    const std::string& bytes = event.bytes;
    for (std::size_t line = 0; line < bytes.size(); line = bytes.find('\n', line) + 1) {
        const char first = bytes[line];
        if (first != ':' && first != '\r' && first != '\n') {
            return false;
        }
    }
    return true;
}

event_order classify_event(std::optional<std::uint64_t> last_id,
                           std::optional<std::uint64_t> id) noexcept {
    if (!last_id) {
        return event_order::next;
    }
    if (!id) {
        return event_order::gap;
    }
    if (*id > *last_id && *id - *last_id == 1) {
        return event_order::next;
    }
    return *id <= *last_id ? event_order::duplicate : event_order::gap;
}

} // namespace citronseam
