#include "citronseam/version/sha256.h"

#include <array>

#include <openssl/evp.h>

namespace citronseam {

std::string sha256_hex(std::string_view content) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(content.data(), content.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned half_byte = 4;
    constexpr unsigned low_half = 15;
    std::string text;
    text.reserve(2 * static_cast<std::size_t>(length));
    for (unsigned int i = 0; i < length; ++i) {
        text.push_back(digits[digest[i] >> half_byte]);
        text.push_back(digits[digest[i] & low_half]);
    }
    return text;
}

} // namespace citronseam
