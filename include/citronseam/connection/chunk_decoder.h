/// @file
/// Decodes the chunked body of an HTTP/1.1 request, byte by byte and strictly.
/// Source: RFC 9112, section 7.1.
///
/// Pistache 0.0.5 loops for ever when the line end after a chunk's data arrives in two parts, ends
/// the body before its empty line, refuses chunk extensions and drops what follows the body.
#ifndef CITRONSEAM_CONNECTION_CHUNK_DECODER_H
#define CITRONSEAM_CONNECTION_CHUNK_DECODER_H

#include <cstdint>
#include <string>
#include <string_view>

#include "citronseam/process/sizes.h"

namespace citronseam {

/// How far a chunked body was decoded.
enum class chunk_status : std::uint8_t {
    more,      ///< the body is not complete yet
    whole,     ///< the empty line that ends the body was received
    malformed, ///< the bytes are no chunked body, or have too long extensions or trailers
    too_long   ///< the body exceeds its limit
};
/// @return the name of a status as written in logs
std::string_view name(chunk_status status) noexcept;

/// The part of a chunked body that comes next.
enum class chunk_position : std::uint8_t {
    size,
    extension_space, ///< white space before a semicolon
    extension,
    size_line_feed,
    data,
    data_carriage_return,
    data_line_feed,
    trailer_start, ///< the first byte of a trailer field or of the empty line
    trailer_name,
    trailer_value,
    trailer_line_feed,
    last_line_feed
};

/// Bytes of all chunk extensions of a body together. They are skipped, so few are enough.
constexpr std::size_t max_chunk_extension_bytes = 16 * kibibyte;
/// Bytes of all trailer fields of a body together, as many as of a header section.
constexpr std::size_t max_trailer_bytes = 32 * kibibyte;

/// A body that is being decoded.
struct chunk_decoder {
    std::uint64_t body_limit{0}; ///< bytes of data
    std::string body;            ///< data decoded so far
    chunk_status status{chunk_status::more};
    chunk_position position{chunk_position::size};
    std::uint64_t chunk_size{0}; ///< while its line is read: as far as it was read
    std::size_t size_digits{0};
    std::uint64_t data_remaining{0}; ///< bytes of the current chunk still expected
    std::size_t extension_bytes{0};
    std::size_t trailer_bytes{0};
};

/// Decodes the next bytes of a body. Decodes nothing once its status is no longer `more`.
/// @return number of bytes that belong to the body; what follows them is the next request's
std::size_t decode_chunks(chunk_decoder& decoder, std::string_view bytes);

} // namespace citronseam

#endif
