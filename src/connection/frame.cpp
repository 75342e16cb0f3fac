#include "citronseam/connection/frame.h"

#include "citronseam/process/enum_names.h"
#include "generated/wire_generated.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<close_reason>, 9> close_reason_names{{
    {close_reason::closed_by_peer, "ended"},
    {close_reason::socket_error, "failed"},
    {close_reason::receive_timeout, "silent"},
    {close_reason::frame_too_large, "oversized"},
    {close_reason::invalid_frame, "garbage"},
    {close_reason::wrong_protocol, "wrong_protocol"},
    {close_reason::send_queue_full, "overflow"},
    {close_reason::no_room, "no_room"},
    {close_reason::closed_locally, "local"},
}};

constexpr std::size_t max_kept_capacity = 64 * kibibyte;
constexpr unsigned bits_in_byte = 8;
constexpr std::uint32_t low_byte = 0xff;
/// Limits of the verifier, so that the cost of a malicious envelope stays proportional to its size.
constexpr flatbuffers::uoffset_t max_table_depth = 8;
constexpr flatbuffers::uoffset_t max_table_count = 100000;

} // namespace

std::string_view name(close_reason reason) noexcept {
    return find_name(close_reason_names, reason);
}

std::array<std::uint8_t, frame_header_size> frame_header(std::uint32_t payload_size) noexcept {
    std::array<std::uint8_t, frame_header_size> header{};
    for (std::size_t i = 0; i < header.size(); ++i) {
        header[i] = static_cast<std::uint8_t>((payload_size >> (bits_in_byte * i)) & low_byte);
    }
    return header;
}

void frame_decoder::feed(const std::uint8_t* data, std::size_t size) {
    // Complete frames were already extracted, so erasing them moves at most one partial frame.
    buffer_.erase(buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(read_position_));
    read_position_ = 0;
    if (buffer_.empty() && buffer_.capacity() > max_kept_capacity) {
        // A large frame must not take the memory for as long as the connection lasts.
        buffer_ = {};
    }
    buffer_.insert(buffer_.end(), data, data + size);
}

bool frame_decoder::is_oversized() const noexcept {
    return pending_length() > static_cast<std::int64_t>(max_size_);
}

std::int64_t frame_decoder::pending_length() const noexcept {
    if (buffer_.size() - read_position_ < frame_header_size) {
        return -1;
    }
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < frame_header_size; ++i) {
        length |= static_cast<std::uint32_t>(buffer_[read_position_ + i]) << (bits_in_byte * i);
    }
    return length;
}

bool frame_decoder::next(std::basic_string_view<std::uint8_t>& payload) {
    const std::int64_t length = pending_length();
    if (length < 0 || is_oversized()) {
        return false;
    }
    const auto size = static_cast<std::size_t>(length);
    if (buffer_.size() - read_position_ < frame_header_size + size) {
        return false;
    }
    payload = {buffer_.data() + read_position_ + frame_header_size, size};
    read_position_ += frame_header_size + size;
    return true;
}

bool is_valid_envelope(std::basic_string_view<std::uint8_t> payload) noexcept {
    flatbuffers::Verifier verifier(payload.data(), payload.size(), max_table_depth,
                                   max_table_count);
    if (payload.size() < sizeof(flatbuffers::uoffset_t) || !wire::VerifyenvelopeBuffer(verifier)) {
        return false;
    }
    return wire::Getenvelope(payload.data())->body() != nullptr;
}

} // namespace citronseam
