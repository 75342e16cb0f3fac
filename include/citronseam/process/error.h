/// @file
/// Errors as values: a code, a message for people, and the place in a file where there is one.
#ifndef CITRONSEAM_PROCESS_ERROR_H
#define CITRONSEAM_PROCESS_ERROR_H

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace citronseam {

/// What kind of thing went wrong. Names stand in a table, see name().
enum class error_code : std::uint8_t {
    invalid_argument,    ///< the caller gave something that cannot be used
    invalid_file,        ///< a settings or configuration file was not accepted
    not_found,           ///< the row, object or version does not exist
    precondition_failed, ///< a conditional write lost against another writer
    unavailable,         ///< the other side could not be reached; nothing was done there
    outcome_unknown,     ///< the answer was lost; the act may have taken effect
    protocol,            ///< the other side broke the protocol
    too_large,           ///< a stated bound would be exceeded
    corrupt              ///< content does not match its hash
};

/// @return the stable name of a code, as used in logs and JSON output.
std::string_view name(error_code code) noexcept;

/// An error with a message that says what was missing, where, and for how long.
struct error {
    error_code code{error_code::invalid_argument};
    std::string message;
};

/// A value or an error.
template<typename T>
using result = tl::expected<T, error>;

/// Shorthand for returning an error from a function that returns result<T>.
/// @param code    kind of error
/// @param message text for people
tl::unexpected<error> failure(error_code code, std::string message);

} // namespace citronseam

#endif
