#include "citronseam/connection/header_syntax.h"

#include <algorithm>

#include <strings.h>

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

bool equals_ignoring_case(std::string_view left, std::string_view right) noexcept {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view trim_white_space(std::string_view text) noexcept {
    while (!text.empty() && is_white_space(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_white_space(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

bool has_control_character(std::string_view line) noexcept {
    return !std::all_of(line.begin(), line.end(), is_text);
}

bool is_header_field(std::string_view line) noexcept {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = line.substr(colon + 1);
    return std::all_of(name.begin(), name.end(), is_token) && !has_control_character(value);
}

} // namespace citronseam
