#include "citronseam/connection/chunk_decoder.h"

#include <algorithm>
#include <array>
#include <optional>

#include "citronseam/connection/header_syntax.h"
#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<chunk_status>, 4> status_names{{
    {chunk_status::more, "more"},
    {chunk_status::whole, "whole"},
    {chunk_status::malformed, "malformed"},
    {chunk_status::too_long, "too_long"},
}};

constexpr char carriage_return = '\r';
constexpr char line_feed = '\n';
constexpr std::uint64_t hex_base = 16;
/// Digits of the largest 64-bit number; also bounds leading zeros.
constexpr std::size_t max_size_digits = 16;

std::optional<std::uint64_t> parse_hex_digit(char byte) {
    if (byte >= '0' && byte <= '9') {
        return byte - '0';
    }
    if (byte >= 'a' && byte <= 'f') {
        return byte - 'a' + 10;
    }
    if (byte >= 'A' && byte <= 'F') {
        return byte - 'A' + 10;
    }
    return std::nullopt;
}

void move_to(chunk_decoder& decoder, bool is_sound, chunk_position next) {
    if (is_sound) {
        decoder.position = next;
    } else {
        decoder.status = chunk_status::malformed;
    }
}

void read_size(chunk_decoder& decoder, char byte) {
    if (const auto digit = parse_hex_digit(byte)) {
        ++decoder.size_digits;
        decoder.chunk_size = decoder.chunk_size * hex_base + *digit;
        move_to(decoder, decoder.size_digits <= max_size_digits, chunk_position::size);
    } else if (is_white_space(byte)) {
        move_to(decoder, decoder.size_digits > 0, chunk_position::extension_space);
    } else if (byte == ';') {
        move_to(decoder, decoder.size_digits > 0, chunk_position::extension);
    } else {
        move_to(decoder, byte == carriage_return && decoder.size_digits > 0,
                chunk_position::size_line_feed);
    }
}

void read_extension(chunk_decoder& decoder, char byte) {
    if (byte == carriage_return) {
        decoder.position = chunk_position::size_line_feed;
        return;
    }
    ++decoder.extension_bytes;
    move_to(decoder, is_text(byte) && decoder.extension_bytes <= max_chunk_extension_bytes,
            chunk_position::extension);
}

void read_extension_space(chunk_decoder& decoder, char byte) {
    ++decoder.extension_bytes;
    move_to(decoder,
            (byte == ';' || is_white_space(byte)) &&
                decoder.extension_bytes <= max_chunk_extension_bytes,
            byte == ';' ? chunk_position::extension : chunk_position::extension_space);
}

void begin_data(chunk_decoder& decoder, char byte) {
    if (byte == line_feed && decoder.chunk_size > decoder.body_limit - decoder.body.size()) {
        decoder.status = chunk_status::too_long;
        return;
    }
    move_to(decoder, byte == line_feed,
            decoder.chunk_size == 0 ? chunk_position::trailer_start : chunk_position::data);
    decoder.data_remaining = decoder.chunk_size;
    decoder.chunk_size = 0;
    decoder.size_digits = 0;
}

void read_trailer(chunk_decoder& decoder, char byte) {
    ++decoder.trailer_bytes;
    const bool is_short = decoder.trailer_bytes <= max_trailer_bytes;
    if (decoder.position == chunk_position::trailer_value) {
        move_to(decoder, is_short && (byte == carriage_return || is_text(byte)),
                byte == carriage_return ? chunk_position::trailer_line_feed
                                        : chunk_position::trailer_value);
        return;
    }
    const bool is_first = decoder.position == chunk_position::trailer_start;
    if (is_first && byte == carriage_return) {
        decoder.position = chunk_position::last_line_feed;
    } else if (!is_first && byte == ':') {
        move_to(decoder, is_short, chunk_position::trailer_value);
    } else {
        move_to(decoder, is_short && is_token(byte), chunk_position::trailer_name);
    }
}

/// Reads a byte that is not a chunk's data.
void read_framing(chunk_decoder& decoder, char byte) {
    switch (decoder.position) {
    case chunk_position::size:
        read_size(decoder, byte);
        break;
    case chunk_position::extension_space:
        read_extension_space(decoder, byte);
        break;
    case chunk_position::extension:
        read_extension(decoder, byte);
        break;
    case chunk_position::size_line_feed:
        begin_data(decoder, byte);
        break;
    case chunk_position::data:
        break;
    case chunk_position::data_carriage_return:
        move_to(decoder, byte == carriage_return, chunk_position::data_line_feed);
        break;
    case chunk_position::data_line_feed:
        move_to(decoder, byte == line_feed, chunk_position::size);
        break;
    case chunk_position::trailer_start:
    case chunk_position::trailer_name:
    case chunk_position::trailer_value:
        read_trailer(decoder, byte);
        break;
    case chunk_position::trailer_line_feed:
        move_to(decoder, byte == line_feed, chunk_position::trailer_start);
        break;
    case chunk_position::last_line_feed:
        decoder.status = byte == line_feed ? chunk_status::whole : chunk_status::malformed;
        break;
    }
}

} // namespace

std::string_view name(chunk_status status) noexcept {
    return find_name(status_names, status);
}

std::size_t decode_chunks(chunk_decoder& decoder, std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size() && decoder.status == chunk_status::more) {
        if (decoder.position != chunk_position::data) {
            read_framing(decoder, bytes[used]);
            ++used;
            continue;
        }
        const std::size_t size =
            std::min<std::uint64_t>(bytes.size() - used, decoder.data_remaining);
        decoder.body.append(bytes, used, size);
        decoder.data_remaining -= size;
        used += size;
        if (decoder.data_remaining == 0) {
            decoder.position = chunk_position::data_carriage_return;
        }
    }
    return used;
}

} // namespace citronseam
