/// @file
/// Checks that an answer that travelled in parts is whole and in order.
#ifndef CITRONSEAM_REQUEST_RESPONSE_DIGEST_H
#define CITRONSEAM_REQUEST_RESPONSE_DIGEST_H

#include <cstdint>
#include <string_view>

namespace citronseam {

/// Running length and checksum of an answer's body. Sender and receiver each keep one.
struct answer_check {
    std::uint64_t total{0};    ///< bytes so far
    std::uint64_t checksum{0}; ///< chained xxHash of the parts
};

/// Adds a part at the end.
void append(answer_check& check, std::string_view part) noexcept;

/// @param offset position that the sender gave the part
/// @return whether the part follows directly on what was received
bool is_next_part(const answer_check& check, std::uint64_t offset) noexcept;

/// @param sent length and checksum that the sender gave at the end
/// @return whether everything that was sent was received
bool is_whole(const answer_check& received, const answer_check& sent) noexcept;

} // namespace citronseam

#endif
