// Checks that any bytes of a server are read as a response with exactly one stated end, or are
// rejected, and that its events do not depend on the sizes in which they arrive.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include <strings.h>

#include "citronseam/connection/response_head.h"
#include "citronseam/request/event_stream.h"

#include "platform/http_headers.h"

namespace {

using namespace citronseam;

/// Ends the process, so that libFuzzer reports the input.
void require(bool is_met, const char* property) {
    if (!is_met) {
        std::fprintf(stderr, "violated: %s\n", property);
        std::abort();
    }
}

struct head_reading {
    response_head head;
    std::size_t size{0}; ///< in bytes
    bool is_accepted{true};
};

/// Reads a head as libcurl hands it over: line by line, and none whose end has not arrived.
head_reading read_head(std::string_view bytes) {
    head_reading reading;
    while (reading.is_accepted && !is_final_head_whole(reading.head)) {
        const auto end = bytes.find('\n', reading.size);
        if (end == std::string_view::npos) {
            break;
        }
        const std::string_view line = bytes.substr(reading.size, end + 1 - reading.size);
        reading.is_accepted = read_head_line(reading.head, line);
        reading.size += line.size();
        require(reading.head.received_bytes == reading.size, "each byte of a head is counted once");
        require(reading.is_accepted == (reading.head.defect == head_defect::none),
                "a line is rejected for a defect");
    }
    return reading;
}

/// Checks the status of an accepted head, whole or not. 0: no status line was read.
void check_status(int status) {
    constexpr int first_final = 200;
    constexpr int last_final = 599;
    require(status == 0 || status == 100 || status == 102 || status == 103 ||
                (status >= first_final && status <= last_final),
            "a status is final or a known interim one");
}

bool is_whole(const head_reading& reading) {
    return reading.is_accepted && is_final_head_whole(reading.head);
}

bool equals_ignoring_case(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::vector<std::string> values(const response_head& head, std::string_view field_name) {
    std::vector<std::string> found;
    for (const auto& header : head.headers) {
        if (equals_ignoring_case(header.name, field_name)) {
            found.push_back(header.value);
        }
    }
    return found;
}

/// Compares the end that a whole head states with its header fields.
void check_framing(const response_head& head) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const auto lengths = values(head, "Content-Length");
    const auto codings = values(head, "Transfer-Encoding");
    const bool is_chunked = codings.size() == 1 && equals_ignoring_case(codings.front(), "chunked");
    require(codings.empty() || (is_chunked && lengths.empty()), "chunked alone, without a length");
    for (const auto& length : lengths) {
        require(!length.empty() && length.find_first_not_of("0123456789") == std::string::npos &&
                    std::strtoull(length.c_str(), nullptr, 10) == head.content_length,
                "all lengths are the same number");
    }
    require(find_framing(head, true) == body_framing::none, "no body after HEAD");
    const bool is_without_body = head.status == no_content || head.status == not_modified;
    const body_framing stated = is_chunked         ? body_framing::chunks
                                : !lengths.empty() ? body_framing::length
                                                   : body_framing::connection;
    require(find_framing(head, false) == (is_without_body ? body_framing::none : stated),
            "the end is the one that the head states");
}

/// Reads lines after the head: they are trailers and change nothing that the head has stated.
void check_trailers(const response_head& head, std::string_view rest) {
    response_head after = head;
    while (!rest.empty()) {
        const std::string_view line = rest.substr(0, rest.find('\n') + 1);
        if (line.empty() || !read_head_line(after, line)) {
            break;
        }
        rest.remove_prefix(line.size());
    }
    require(after.status == head.status && after.headers.size() == head.headers.size() &&
                after.content_length == head.content_length && after.is_chunked == head.is_chunked,
            "trailers change no head");
}

/// Cuts a whole head at one byte, and lets its last line through without an end.
void check_cut(std::string_view head, std::size_t size) {
    head_reading reading = read_head(head.substr(0, size));
    require(!is_whole(reading), "no proper prefix of a head is whole");
    if (reading.is_accepted && reading.size < size) {
        require(!read_head_line(reading.head, head.substr(reading.size, size - reading.size)),
                "a line without end is rejected");
    }
}

void check_parameters(const response_head& head) {
    const auto parameters = platform::parse_response_headers(head.status, head.headers);
    for (const auto& number : {parameters.request_limit, parameters.retry_after_s}) {
        require(!number || (std::isfinite(*number) && *number >= 0), "a rate or time is sound");
    }
    require(!(parameters.request_limit && parameters.has_invalid_limit) &&
                !(parameters.retry_after_s && parameters.has_invalid_retry_after),
            "a value is valid or not");
    require(!parameters.cold_for || parameters.cold_for->count() >= 0, "a time is not negative");
    for (const auto& header : platform::make_caller_headers(head.headers)) {
        require(!equals_ignoring_case(header.name, "Content-Length") &&
                    !equals_ignoring_case(header.name, "Transfer-Encoding"),
                "the statement about the end is not passed on");
    }
}

void check_head(std::string_view input, const head_reading& reading) {
    constexpr std::string_view head_end = "\r\n\r\n";
    const std::string_view head = input.substr(0, reading.size);
    require(head.size() > head_end.size() && head.substr(head.size() - head_end.size()) == head_end,
            "an empty line ends a whole head");
    check_framing(reading.head);
    check_trailers(reading.head, input.substr(reading.size));
    check_parameters(reading.head);
    std::size_t sum = 0;
    for (const char byte : input) {
        sum += static_cast<unsigned char>(byte);
    }
    check_cut(head, sum % head.size());
    check_cut(head, head.size() - 1);
}

struct body_reading {
    std::vector<stream_event> events;
    std::string pending;
};

/// @param next_size gives the size of the piece that begins at an offset
template<class Size>
body_reading read_body(std::string_view body, Size next_size) {
    body_reading reading;
    event_buffer buffer;
    for (std::size_t offset = 0; offset < body.size();) {
        const std::string_view piece = body.substr(offset, next_size(offset));
        offset += piece.size();
        require(feed(buffer, piece), "a body of this size is not too long");
        while (auto event = next_event(buffer)) {
            reading.events.push_back(std::move(*event));
        }
    }
    reading.pending = buffer.pending;
    return reading;
}

void check_order(const std::vector<stream_event>& events) {
    std::optional<std::uint64_t> last;
    for (const auto& event : events) {
        if (event.id && classify_event(last, event.id) == event_order::next) {
            require(!last || (*event.id > *last && *event.id - *last == 1),
                    "numbers of forwarded events follow each other");
            last = event.id;
        }
        if (event.id) {
            require(classify_event(event.id, event.id) == event_order::duplicate,
                    "an event that was forwarded is not forwarded again");
        }
    }
}

void check_body(std::string_view body) {
    constexpr std::size_t max_piece_bytes = 16;
    const body_reading whole = read_body(body, [&](std::size_t) { return body.size(); });
    std::string joined;
    for (const auto& event : whole.events) {
        require(!event.bytes.empty(), "an event has bytes");
        joined += event.bytes;
    }
    require(joined + whole.pending == body, "events and what is pending are the bytes fed");
    const auto check_same = [&](const body_reading& other) {
        require(other.pending == whole.pending &&
                    std::equal(whole.events.begin(), whole.events.end(), other.events.begin(),
                               other.events.end(),
                               [](const stream_event& left, const stream_event& right) {
                                   return left.bytes == right.bytes && left.id == right.id;
                               }),
                "the events do not depend on the sizes of the pieces");
    };
    check_same(read_body(body, [](std::size_t) { return 1; }));
    check_same(read_body(body, [&](std::size_t offset) {
        return 1 + static_cast<unsigned char>(body[offset]) % max_piece_bytes;
    }));
    check_order(whole.events);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view input(reinterpret_cast<const char*>(data), size);
    const head_reading reading = read_head(input);
    check_status(reading.head.status);
    if (is_whole(reading)) {
        check_head(input, reading);
        check_body(input.substr(reading.size));
    }
    // Also without a head, so that inputs are not lost to malformed ones.
    check_body(input);
    return 0;
}
