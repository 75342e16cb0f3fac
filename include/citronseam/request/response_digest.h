/// @file
/// Checks that a response body sent in parts arrives complete and in order.
#ifndef CITRONSEAM_REQUEST_RESPONSE_DIGEST_H
#define CITRONSEAM_REQUEST_RESPONSE_DIGEST_H

#include <cstdint>
#include <string_view>

namespace citronseam {

/// Running length and checksum of a response body. Sender and receiver each keep one.
struct response_digest {
    std::uint64_t total{0};    ///< bytes so far
    std::uint64_t checksum{0}; ///< chained xxHash of the parts
};

/// Appends a part.
void append(response_digest& digest, std::string_view part) noexcept;

/// @param offset offset of the part as stated by the sender
/// @return whether the part directly follows the data received so far
bool is_next_part(const response_digest& digest, std::uint64_t offset) noexcept;

/// @param received digest of the parts received
/// @param sent     digest stated by the sender at the end of the body
/// @return whether the body was received complete and unaltered
bool is_body_complete(const response_digest& received, const response_digest& sent) noexcept;

} // namespace citronseam

#endif
