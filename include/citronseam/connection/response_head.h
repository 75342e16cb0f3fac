/// @file
/// Reads the head of an HTTP/1.1 response line by line and tells how the response states its end.
/// Source: RFC 9112, sections 2.2, 4, 5 and 6.3.
#ifndef CITRONSEAM_CONNECTION_RESPONSE_HEAD_H
#define CITRONSEAM_CONNECTION_RESPONSE_HEAD_H

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "citronseam/process/sizes.h"
#include "citronseam/request/idempotency_record.h"

namespace citronseam {

/// How a response states where its body ends.
enum class body_framing : std::uint8_t {
    none,      ///< it has no body: the response to HEAD, 204 or 304
    length,    ///< Content-Length
    chunks,    ///< chunked transfer coding
    connection ///< nothing: the body ends with the connection, so it may have been cut off
};
/// @return the name of a framing as written in logs
std::string_view name(body_framing framing) noexcept;

/// Why the bytes of a head are no response.
enum class head_defect : std::uint8_t {
    none,
    too_long,       ///< more bytes or header fields than a response may have
    no_room,        ///< the heads and bodies of other responses take the memory for it
    status_line,    ///< no status line, or a status other than 100, 102, 103 and 200 to 599
    line_ending,    ///< a line feed without a carriage return
    header_field,   ///< no colon, no name, white space in the name, a control character, a folded
                    ///< line, or a status line inside it
    content_length, ///< no number, or two that differ
    transfer_coding ///< not chunked alone, or beside a Content-Length
};
/// @return the name of a defect as written in logs
std::string_view name(head_defect defect) noexcept;

/// Longest head of a response with its interim responses and trailers, in bytes.
constexpr std::size_t max_response_head_bytes = 64 * kibibyte;

/// Most header fields of a response.
constexpr std::size_t max_response_fields = 1000;

/// What was read of a response's head.
struct response_head {
    int status{0};                    ///< of the last status line; 0 if that is malformed
    std::vector<http_header> headers; ///< of the last head, without trailers
    std::size_t received_bytes{0};    ///< of interim responses, head and trailers
    bool is_whole{false};             ///< the empty line that ends the last head was received
    head_defect defect{head_defect::none};
    std::optional<std::uint64_t> content_length;
    bool is_chunked{false};
};

/// Reads the next line, with its terminator. Lines after the final head are trailers and only
/// counted.
/// @return false when the bytes are no response; `defect` says why
bool read_head_line(response_head& head, std::string_view line);

/// @return whether the head of the final response, not of an interim one, was received to its end
bool is_final_head_whole(const response_head& head) noexcept;

/// @param is_head_request whether the response answers a HEAD request
/// @return how a response with this head states its end
body_framing find_framing(const response_head& head, bool is_head_request) noexcept;

} // namespace citronseam

#endif
