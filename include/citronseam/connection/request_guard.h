/// @file
/// Checks the head of an HTTP request before the library sees it.
///
/// Pistache 0.0.5 gives no answer to a body over its limit, takes the first of two lengths that
/// differ, answers a negative length with an exception's text and drops a pipelined request without
/// a word. The guard reads nothing but the length and the coding of the body.
#ifndef CITRONSEAM_CONNECTION_REQUEST_GUARD_H
#define CITRONSEAM_CONNECTION_REQUEST_GUARD_H

#include <cstdint>
#include <string>
#include <string_view>

#include "citronseam/process/sizes.h"

namespace citronseam {

/// What the guard found.
enum class guard_finding : std::uint8_t {
    incomplete,     ///< the head has not come whole yet
    accepted,       ///< the request may go on
    head_too_large, ///< the head is longer than the bound
    body_too_large, ///< the announced body is longer than the bound
    bad_length,     ///< Content-Length is not a number, or there are two that differ
    bad_coding      ///< both a length and a chunked coding, or a coding that is not chunked
};

/// Result of a check.
struct guard_result {
    guard_finding finding{guard_finding::incomplete};
    std::size_t head_size{0};   ///< bytes of the head with its empty line
    std::uint64_t body_size{0}; ///< announced length, 0 for a chunked body
    bool is_chunked{false};
};

/// Bytes a head may have.
constexpr std::size_t largest_head = 32 * kibibyte;

/// @param bytes        what came so far, from the first byte of the request
/// @param largest_body bytes a body may have
/// @param longest_head bytes a head may have, largest_head at most
guard_result check_head(std::string_view bytes, std::uint64_t largest_body,
                        std::size_t longest_head = largest_head) noexcept;

/// @return the HTTP status for a finding that is not accepted
int http_status(guard_finding finding) noexcept;
/// @return a message for the caller
std::string_view message(guard_finding finding) noexcept;

} // namespace citronseam

#endif
