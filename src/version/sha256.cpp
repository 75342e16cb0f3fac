#include "citronseam/version/sha256.h"

#include <array>

#include <openssl/evp.h>

namespace citronseam {

std::string sha256_hex(std::string_view content) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(content.data(), content.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned low_digit_mask = 15;
    std::string text;
    text.reserve(2 * static_cast<std::size_t>(length));
    for (unsigned int i = 0; i < length; ++i) {
        text.push_back(digits[digest[i] >> bits_per_digit]);
        text.push_back(digits[digest[i] & low_digit_mask]);
    }
    return text;
}

std::optional<std::string> parse_sha256_hex(std::string_view text) {
    constexpr std::size_t digest_digits = 64;
    if (text.size() != digest_digits) {
        return std::nullopt;
    }
    std::string digest(text);
    for (char& digit : digest) {
        if (digit >= 'A' && digit <= 'F') {
            digit = static_cast<char>(digit - 'A' + 'a');
        }
        if ((digit < '0' || digit > '9') && (digit < 'a' || digit > 'f')) {
            return std::nullopt;
        }
    }
    return digest;
}

} // namespace citronseam
