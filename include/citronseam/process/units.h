/// @file
/// Parsers for quantities with units in settings and configuration files.
#ifndef CITRONSEAM_PROCESS_UNITS_H
#define CITRONSEAM_PROCESS_UNITS_H

#include <cstdint>
#include <string_view>

#include "citronseam/process/clock.h"
#include "citronseam/process/error.h"

namespace citronseam {

/// Parses a duration such as `500ms`, `30s`, `5m` or `24h`.
/// @return milliseconds, or an error that lists the accepted units
result<milliseconds> parse_duration(std::string_view text);

/// Parses a size such as `64B`, `256KiB`, `4MiB` or `2GiB`.
/// @return bytes, or an error that lists the accepted units
result<std::uint64_t> parse_size(std::string_view text);

/// Parses a rate such as `500kbit/s`, `20Mbit/s` or `1Gbit/s`.
/// @return bytes a second, or an error that lists the accepted units
result<std::uint64_t> parse_rate(std::string_view text);

} // namespace citronseam

#endif
