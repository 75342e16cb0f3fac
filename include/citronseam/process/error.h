/// @file
/// Error values: an error code and a human-readable message.
#ifndef CITRONSEAM_PROCESS_ERROR_H
#define CITRONSEAM_PROCESS_ERROR_H

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace citronseam {

/// Category of an error; name() returns its text form.
enum class error_code : std::uint8_t {
    invalid_argument,    ///< the caller passed an unusable value
    invalid_file,        ///< a settings or configuration file failed validation
    not_found,           ///< the row, object or version does not exist
    precondition_failed, ///< a conditional write lost to another writer
    unavailable,         ///< the peer could not be reached; the operation was not executed
    outcome_unknown,     ///< the response was lost; the operation may have been executed
    protocol,            ///< the peer violated the protocol
    too_large,           ///< a limit would be exceeded
    corrupt              ///< content does not match its hash
};

/// @return the stable name of a code, as used in logs and JSON output.
std::string_view name(error_code code) noexcept;

/// An error with a message that says what failed, where, and for how long.
struct error {
    error_code code{error_code::invalid_argument};
    std::string message;
};

/// A value or an error.
template<typename T>
using result = tl::expected<T, error>;

/// Shorthand for returning an error from a function that returns result<T>.
/// @param code    kind of error
/// @param message human-readable text
tl::unexpected<error> failure(error_code code, std::string message);

/// @return the beginning of a text that may quote what another program sent, for messages
std::string shortened(std::string_view text);

} // namespace citronseam

#endif
