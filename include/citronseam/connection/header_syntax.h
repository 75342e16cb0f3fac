/// @file
/// Bytes, names and values of the header fields of HTTP messages.
/// Source: RFC 9110, sections 5.1, 5.5 and 5.6.
#ifndef CITRONSEAM_CONNECTION_HEADER_SYNTAX_H
#define CITRONSEAM_CONNECTION_HEADER_SYNTAX_H

#include <string_view>

namespace citronseam {

/// @return whether a byte is a space or a tab
bool is_white_space(char byte) noexcept;

/// @return whether a byte may stand in a field's value: no control character but the tab
bool is_text(char byte) noexcept;

/// @return whether a byte may stand in a field's name
bool is_token(char byte) noexcept;

/// @return whether two names, or two values of which case says nothing, are the same
bool equals_ignoring_case(std::string_view left, std::string_view right) noexcept;

/// @return the text without white space around it
std::string_view trim_white_space(std::string_view text) noexcept;

/// @return whether a line has a control character but the tab: it ends a line for some readers and
/// not for others
bool has_control_character(std::string_view line) noexcept;

/// @param line without its terminator
/// @return whether the line is a field that all readers take for the same one: a name, a colon and
/// a value, without white space around the name and without control characters
bool is_header_field(std::string_view line) noexcept;

} // namespace citronseam

#endif
