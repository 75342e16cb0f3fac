#include "citronseam/process/error.h"

#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<error_code>, 9> error_names{{
    {error_code::invalid_argument, "invalid_argument"},
    {error_code::invalid_file, "invalid_file"},
    {error_code::not_found, "not_found"},
    {error_code::precondition_failed, "precondition_failed"},
    {error_code::unavailable, "unavailable"},
    {error_code::outcome_unknown, "outcome_unknown"},
    {error_code::protocol, "protocol"},
    {error_code::too_large, "too_large"},
    {error_code::corrupt, "corrupt"},
}};

} // namespace

std::string_view name(error_code code) noexcept {
    return find_name(error_names, code);
}

tl::unexpected<error> failure(error_code code, std::string message) {
    return tl::unexpected<error>(error{code, std::move(message)});
}

std::string shortened(std::string_view text) {
    constexpr std::size_t max_shown = 200;
    return text.size() <= max_shown ? std::string(text)
                                    : std::string(text.substr(0, max_shown)) + "...";
}

} // namespace citronseam
