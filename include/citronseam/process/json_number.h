/// @file
/// Reads numbers from JSON text that another program wrote.
#ifndef CITRONSEAM_PROCESS_JSON_NUMBER_H
#define CITRONSEAM_PROCESS_JSON_NUMBER_H

#include <concepts>
#include <limits>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace citronseam {

/// nlohmann::json converts any number and bool: a negative one wraps around, a large one is cut,
/// and a fraction out of range is undefined.
/// @return a parsed whole number
/// @throws std::invalid_argument if the value is anything else, or higher than `max`
template<std::unsigned_integral Integer>
Integer read_whole_number(const nlohmann::json& value,
                          Integer max = std::numeric_limits<Integer>::max()) {
    if (!value.is_number_unsigned()) {
        throw std::invalid_argument("a value is no whole number");
    }
    const auto number = value.get<std::uint64_t>();
    if (number > max) {
        throw std::invalid_argument("a number is too large");
    }
    return static_cast<Integer>(number);
}

} // namespace citronseam

#endif
