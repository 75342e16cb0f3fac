/// @file
/// Validates the header section of an HTTP request before Pistache parses it.
///
/// Pistache 0.0.5 does not respond to a body over its limit, uses the first of two conflicting
/// Content-Length headers, answers a negative one with the text of an exception and silently drops
/// a pipelined request. It also accepts lines in which a backend server may find other fields: a
/// folded line, white space before the colon, a bare line feed. Source: RFC 9112, section 5.
#ifndef CITRONSEAM_CONNECTION_REQUEST_GUARD_H
#define CITRONSEAM_CONNECTION_REQUEST_GUARD_H

#include <cstdint>
#include <string>
#include <string_view>

#include "citronseam/process/sizes.h"

namespace citronseam {

/// Result code of a check.
enum class head_check_status : std::uint8_t {
    incomplete,                ///< the header section is not complete yet
    accepted,                  ///< the request may be parsed
    head_too_large,            ///< the header section exceeds its limit
    body_too_large,            ///< Content-Length exceeds the limit
    invalid_content_length,    ///< not a number, or two different values
    invalid_transfer_encoding, ///< not `chunked`, or beside Content-Length
    invalid_request_line,      ///< it has a control character
    invalid_field              ///< a line that another reader may take for other fields
};

/// Result of a check.
struct head_check_result {
    head_check_status status{head_check_status::incomplete};
    std::size_t head_size{0};   ///< bytes, with the empty line
    std::uint64_t body_size{0}; ///< Content-Length in bytes, 0 when absent
    bool is_chunked{false};
};

/// Largest header section, in bytes.
constexpr std::size_t max_head_size = 32 * kibibyte;

/// @param bytes        bytes received so far, from the start of the request
/// @param max_body_size largest accepted body, in bytes
/// @param head_limit   largest accepted header section, in bytes; capped at max_head_size
head_check_result check_head(std::string_view bytes, std::uint64_t max_body_size,
                             std::size_t head_limit = max_head_size) noexcept;

/// @return the HTTP status of the response for a rejected request
int http_status(head_check_status status) noexcept;
/// @return the error message of the response
std::string_view message(head_check_status status) noexcept;

} // namespace citronseam

#endif
