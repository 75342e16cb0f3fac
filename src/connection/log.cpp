#include "citronseam/process/log.h"

#include <chrono>
#include <iostream>
#include <mutex>
#include <optional>

#include <easylogging++.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "citronseam/process/log_rate_limiter.h"

INITIALIZE_EASYLOGGINGPP

namespace citronseam {
namespace {

bool is_plain(const std::string& value) {
    return !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
}

std::string quoted(const std::string& value) {
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text.push_back('\\');
        }
        text.push_back(character == '\n' || character == '\r' ? ' ' : character);
    }
    return text + "\"";
}

/// Makes writes to a full pipe fail instead of blocking the process when nobody reads the log.
void set_pipe_non_blocking() {
    struct stat file_info {};
    if (::fstat(STDOUT_FILENO, &file_info) == 0 && S_ISFIFO(file_info.st_mode)) {
        ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
}

/// Applies the rate limit of an event.
/// @return number of lines suppressed before this one, or nothing when this one is suppressed too
std::optional<std::uint32_t> admit_line(std::string_view event) {
    static std::mutex mutex;
    static log_rate_limiter limiter;
    const std::lock_guard<std::mutex> lock(mutex);
    const log_admission decision = admit_log_line(limiter, event, std::chrono::steady_clock::now());
    if (!std::cout.good()) {
        // An earlier write failed on a full pipe; clear the error so that later lines are written.
        std::cout.clear();
    }
    return decision.is_admitted ? std::optional(decision.suppressed_lines) : std::nullopt;
}

void write_line(log_level level, const std::string& line) {
    switch (level) {
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace

void initialize_logging(const std::string& process) {
    set_pipe_non_blocking();
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format,
                         "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level process=" + process +
                             " %msg");
    el::Loggers::reconfigureAllLoggers(settings);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    const auto suppressed = admit_line(event);
    if (!suppressed) {
        return;
    }
    if (*suppressed > 0) {
        write_line(log_level::warning, "event=lines_left_out kind=" + std::string(event) +
                                           " lines=" + std::to_string(*suppressed));
    }
    std::string line = "event=" + std::string(event);
    for (const auto& field : fields) {
        line.append(" ").append(field.key).append("=");
        line += is_plain(field.value) ? field.value : quoted(field.value);
    }
    write_line(level, line);
}

} // namespace citronseam
