/// @file
/// SHA-256 as hexadecimal text.
#ifndef CITRONSEAM_VERSION_SHA256_H
#define CITRONSEAM_VERSION_SHA256_H

#include <optional>
#include <string>
#include <string_view>

namespace citronseam {

/// @return the SHA-256 of `content` as 64 lower-case hexadecimal digits
std::string sha256_hex(std::string_view content);

/// @return a SHA-256 that another program wrote, in lower case; nullopt if the text is none
std::optional<std::string> parse_sha256_hex(std::string_view text);

} // namespace citronseam

#endif
