/// @file
/// Structured log with lines of the form `event=... key=value`, one for each state change.
#ifndef CITRONSEAM_PROCESS_LOG_H
#define CITRONSEAM_PROCESS_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace citronseam {

/// Severity of a line.
enum class log_level : std::uint8_t { info, warning, error };

/// One key-value pair of a line. Values with spaces or quotes are quoted.
struct log_field {
    std::string_view key;
    std::string value;

    /// @param name key, lower case with underscores
    /// @param text value
    log_field(std::string_view name, std::string_view text) : key(name), value(text) {}
    /// @param name   key, lower case with underscores
    /// @param number value
    template<typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    log_field(std::string_view name, Number number) : key(name), value(std::to_string(number)) {}
};

/// Initializes the log; called once at the start of a process.
/// @param process process name written on every line
void initialize_logging(const std::string& process);

/// Writes one line to the standard output stream.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace citronseam

#endif
