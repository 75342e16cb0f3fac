#include "citronseam/version/chunk_bitmap.h"

namespace citronseam {
namespace {

constexpr std::size_t bits_per_byte = 8;

} // namespace

std::string pack_chunk_bitmap(const std::vector<bool>& held) {
    std::string bytes((held.size() + bits_per_byte - 1) / bits_per_byte, '\0');
    for (std::size_t i = 0; i < held.size(); ++i) {
        if (held[i]) {
            char& byte = bytes[i / bits_per_byte];
            byte =
                static_cast<char>(static_cast<unsigned char>(byte) | (1U << (i % bits_per_byte)));
        }
    }
    return bytes;
}

std::vector<bool> unpack_chunk_bitmap(std::string_view bytes, std::size_t count) {
    std::vector<bool> held(count, false);
    for (std::size_t i = 0; i < count && i / bits_per_byte < bytes.size(); ++i) {
        const auto byte = static_cast<unsigned char>(bytes[i / bits_per_byte]);
        held[i] = ((byte >> (i % bits_per_byte)) & 1U) != 0;
    }
    return held;
}

} // namespace citronseam
