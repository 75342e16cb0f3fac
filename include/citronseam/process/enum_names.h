/// @file
/// Lookup tables between `enum class` values and their names.
#ifndef CITRONSEAM_PROCESS_ENUM_NAMES_H
#define CITRONSEAM_PROCESS_ENUM_NAMES_H

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronseam {

/// One row of a lookup table.
template<typename Enum>
struct enum_name {
    Enum value;
    std::string_view text;
};

/// Looks up the name of a value.
/// @return the name, or "unknown" for a value outside the table
template<typename Enum, std::size_t Size>
constexpr std::string_view find_name(const std::array<enum_name<Enum>, Size>& table,
                                     Enum value) noexcept {
    for (const auto& row : table) {
        if (row.value == value) {
            return row.text;
        }
    }
    return "unknown";
}

/// Looks up the value of a name.
/// @return the value, or nothing when the name is not in the table
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> find_value(const std::array<enum_name<Enum>, Size>& table,
                                         std::string_view text) noexcept {
    for (const auto& row : table) {
        if (row.text == text) {
            return row.value;
        }
    }
    return std::nullopt;
}

/// @return all names of a table, in table order, for error messages that list the choices
template<typename Enum, std::size_t Size>
std::vector<std::string> all_names(const std::array<enum_name<Enum>, Size>& table) {
    std::vector<std::string> names;
    names.reserve(table.size());
    for (const auto& row : table) {
        names.emplace_back(row.text);
    }
    return names;
}

} // namespace citronseam

#endif
