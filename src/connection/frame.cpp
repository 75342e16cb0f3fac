#include "citronseam/connection/frame.h"

#include "citronseam/process/enum_names.h"
#include "generated/wire_generated.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<close_reason>, 8> reason_names{{
    {close_reason::ended, "ended"},
    {close_reason::failed, "failed"},
    {close_reason::silent, "silent"},
    {close_reason::oversized, "oversized"},
    {close_reason::garbage, "garbage"},
    {close_reason::wrong_protocol, "wrong_protocol"},
    {close_reason::overflow, "overflow"},
    {close_reason::local, "local"},
}};

constexpr unsigned bits_in_byte = 8;
constexpr std::uint32_t low_byte = 0xff;
/// The verifier's bounds keep a hostile envelope from costing more than its length.
constexpr flatbuffers::uoffset_t deepest_table = 8;
constexpr flatbuffers::uoffset_t most_tables = 100000;

} // namespace

std::string_view name(close_reason reason) noexcept {
    return find_name(reason_names, reason);
}

std::array<std::uint8_t, frame_header_size> frame_header(std::uint32_t payload_size) noexcept {
    std::array<std::uint8_t, frame_header_size> header{};
    for (std::size_t i = 0; i < header.size(); ++i) {
        header[i] = static_cast<std::uint8_t>((payload_size >> (bits_in_byte * i)) & low_byte);
    }
    return header;
}

void frame_decoder::feed(const std::uint8_t* data, std::size_t size) {
    // Whole frames were handed out already, so what is left to move is at most one frame.
    buffer_.erase(buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(read_));
    read_ = 0;
    buffer_.insert(buffer_.end(), data, data + size);
}

bool frame_decoder::is_oversized() const noexcept {
    return pending_length() > static_cast<std::int64_t>(largest_frame);
}

std::int64_t frame_decoder::pending_length() const noexcept {
    if (buffer_.size() - read_ < frame_header_size) {
        return -1;
    }
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < frame_header_size; ++i) {
        length |= static_cast<std::uint32_t>(buffer_[read_ + i]) << (bits_in_byte * i);
    }
    return length;
}

bool frame_decoder::next(std::basic_string_view<std::uint8_t>& payload) {
    const std::int64_t length = pending_length();
    if (length < 0 || is_oversized()) {
        return false;
    }
    const auto size = static_cast<std::size_t>(length);
    if (buffer_.size() - read_ < frame_header_size + size) {
        return false;
    }
    payload = {buffer_.data() + read_ + frame_header_size, size};
    read_ += frame_header_size + size;
    return true;
}

bool is_valid_envelope(std::basic_string_view<std::uint8_t> payload) noexcept {
    flatbuffers::Verifier verifier(payload.data(), payload.size(), deepest_table, most_tables);
    if (payload.size() < sizeof(flatbuffers::uoffset_t) || !wire::VerifyenvelopeBuffer(verifier)) {
        return false;
    }
    return wire::Getenvelope(payload.data())->body() != nullptr;
}

} // namespace citronseam
