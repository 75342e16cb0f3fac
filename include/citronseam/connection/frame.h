/// @file
/// Framing of messages between processes: a four-byte little-endian length, then a FlatBuffers
/// envelope.
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

/// Version of the protocol between processes; both ends must use the same one.
constexpr std::uint16_t wire_protocol_version = 1;
/// Size of the length prefix of a frame, in bytes.
constexpr std::size_t frame_header_size = 4;
/// Largest payload of a frame, in bytes. A larger length closes the connection.
constexpr std::size_t max_frame_size = 4 * mebibyte;
/// The same for the first frame, before it is known that a process of the system sends it.
constexpr std::size_t max_hello_size = 64 * kibibyte;

/// Why a connection between processes was closed.
enum class close_reason : std::uint8_t {
    closed_by_peer,  ///< the peer closed it
    socket_error,    ///< the operating system reported an error
    receive_timeout, ///< nothing was received within the silence timeout
    frame_too_large, ///< a frame was longer than max_frame_size
    invalid_frame,   ///< a frame was not a valid envelope
    wrong_protocol,  ///< the first frame was no hello or had another protocol version
    send_queue_full, ///< the peer reads too slowly
    no_room,         ///< the frames of other peers take the memory for the one that it sends
    closed_locally   ///< this process closed it
};
/// @return the name of a reason in logs and metrics
std::string_view name(close_reason reason) noexcept;

/// @return the encoded length prefix for a payload of the given size in bytes
std::array<std::uint8_t, frame_header_size> frame_header(std::uint32_t payload_size) noexcept;

/// Splits a byte stream into frames.
class frame_decoder {
public:
    /// Appends received bytes.
    void feed(const std::uint8_t* data, std::size_t size);

    /// Extracts the next complete frame.
    /// @param payload set to a view that is valid until the next call of feed()
    /// @return false when no complete frame is buffered
    bool next(std::basic_string_view<std::uint8_t>& payload);

    /// Limits the length of the following frames.
    void set_max_size(std::size_t size) noexcept { max_size_ = size; }

    /// @return whether the length of the next frame exceeds the limit; the connection must then be
    /// closed
    bool is_oversized() const noexcept;

    /// @return whether an incomplete frame is buffered
    bool has_partial_frame() const noexcept { return read_position_ < buffer_.size(); }

    /// @return bytes of memory that it takes
    std::size_t capacity() const noexcept { return buffer_.capacity(); }

private:
    /// @return payload length of the frame at the read position, or -1 when its header is
    /// incomplete
    std::int64_t pending_length() const noexcept;

    std::vector<std::uint8_t> buffer_;
    std::size_t read_position_{0};
    std::size_t max_size_{max_frame_size};
};

/// @return whether the payload is a valid envelope; check this before reading any of its fields
bool is_valid_envelope(std::basic_string_view<std::uint8_t> payload) noexcept;

} // namespace citronseam

#endif
