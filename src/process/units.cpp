#include "citronseam/process/units.h"

#include <array>
#include <charconv>
#include <limits>
#include <string>

namespace citronseam {
namespace {

struct unit {
    std::string_view suffix;
    double factor;
};

constexpr std::array<unit, 4> duration_units{{{"ms", 1}, {"s", 1000}, {"m", 60e3}, {"h", 3600e3}}};
constexpr std::array<unit, 4> size_units{
    {{"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}}};
// Rates are written in bits a second and stored in bytes a second.
constexpr std::array<unit, 3> rate_units{
    {{"kbit/s", 1e3 / 8}, {"Mbit/s", 1e6 / 8}, {"Gbit/s", 1e9 / 8}}};

/// Splits `text` into number and unit and returns their product in the base unit.
template<std::size_t Size>
result<std::uint64_t> parse_quantity(std::string_view text, const std::array<unit, Size>& units,
                                     std::string_view quantity) {
    double number = 0;
    const char* end = text.data() + text.size();
    const auto [rest, problem] = std::from_chars(text.data(), end, number);
    const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
    if (problem == std::errc{} && number >= 0) {
        for (const auto& candidate : units) {
            const double value = number * candidate.factor;
            if (candidate.suffix == suffix && value < 9e18) {
                return static_cast<std::uint64_t>(value);
            }
        }
    }
    std::string message = "expected a ";
    message.append(quantity).append(" with a unit (");
    for (std::size_t i = 0; i < Size; ++i) {
        message.append(i == 0 ? "" : ", ").append(units[i].suffix);
    }
    message.append("), found '").append(text).append("'");
    return failure(error_code::invalid_argument, std::move(message));
}

} // namespace

result<milliseconds> parse_duration(std::string_view text) {
    return parse_quantity(text, duration_units, "duration").map([](std::uint64_t value) {
        return milliseconds(value);
    });
}

result<std::uint64_t> parse_size(std::string_view text) {
    return parse_quantity(text, size_units, "size");
}

result<std::uint64_t> parse_rate(std::string_view text) {
    return parse_quantity(text, rate_units, "rate");
}

} // namespace citronseam
