#include "citronseam/connection/header_syntax.h"

#include <algorithm>

namespace citronseam {

bool is_white_space(char byte) noexcept {
    return byte == ' ' || byte == '\t';
}

bool is_text(char byte) noexcept {
    constexpr unsigned char delete_character = 0x7f;
    const auto code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= ' ' && code != delete_character);
}

bool is_token(char byte) noexcept {
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
           (byte >= 'A' && byte <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
}

bool is_header_field(std::string_view line) noexcept {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = line.substr(colon + 1);
    return std::all_of(name.begin(), name.end(), is_token) &&
           std::all_of(value.begin(), value.end(), is_text);
}

} // namespace citronseam
