/// @file
/// Frames between processes: a four-byte little-endian length, then a FlatBuffers envelope.
#ifndef CITRONSEAM_CONNECTION_FRAME_H
#define CITRONSEAM_CONNECTION_FRAME_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/error.h"
#include "citronseam/process/sizes.h"

namespace citronseam {

/// Version of the protocol between processes; both ends must have the same.
constexpr std::uint16_t wire_protocol_version = 1;
/// Bytes of the length before each frame.
constexpr std::size_t frame_header_size = 4;
/// Largest frame, in bytes. A larger length closes the connection.
constexpr std::size_t largest_frame = 4 * mebibyte;

/// Why a connection between processes was closed.
enum class close_reason : std::uint8_t {
    ended,          ///< the other side closed it
    failed,         ///< the operating system reported an error
    silent,         ///< nothing came for longer than the silence timeout
    oversized,      ///< a frame was longer than largest_frame
    garbage,        ///< a frame was not a valid envelope
    wrong_protocol, ///< the first frame was no hello, or had another version
    overflow,       ///< the other side reads too slowly
    local           ///< this process closed it
};
/// @return the name of a reason as written in logs and metrics
std::string_view name(close_reason reason) noexcept;

/// @return the frame header for a payload
std::array<std::uint8_t, frame_header_size> frame_header(std::uint32_t payload_size) noexcept;

/// Cuts a stream of bytes into frames.
class frame_decoder {
public:
    /// Adds received bytes.
    void feed(const std::uint8_t* data, std::size_t size);

    /// Takes the next whole frame.
    /// @param payload receives a view that holds until the next call of feed()
    /// @return false when no whole frame is there yet
    bool next(std::basic_string_view<std::uint8_t>& payload);

    /// @return whether the next frame announces more than largest_frame; the connection must be
    /// closed then
    bool is_oversized() const noexcept;

    /// @return whether bytes of an unfinished frame are waiting
    bool is_mid_frame() const noexcept { return read_ < buffer_.size(); }

private:
    /// @return length of the frame at the read position, or -1 when its header is not there yet
    std::int64_t pending_length() const noexcept;

    std::vector<std::uint8_t> buffer_;
    std::size_t read_{0};
};

/// @return whether the payload is a valid envelope; nothing in it is read before this holds
bool is_valid_envelope(std::basic_string_view<std::uint8_t> payload) noexcept;

} // namespace citronseam

#endif
