#include "citronseam/process/log.h"

#include <mutex>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace citronseam {
namespace {

bool is_plain(const std::string& value) {
    return !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
}

std::string quoted(const std::string& value) {
    std::string text = "\"";
    for (const char letter : value) {
        if (letter == '"' || letter == '\\') {
            text.push_back('\\');
        }
        text.push_back(letter == '\n' || letter == '\r' ? ' ' : letter);
    }
    return text + "\"";
}

} // namespace

void start_log(const std::string& process) {
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
    std::string line = "event=" + std::string(event);
    for (const auto& field : fields) {
        line.append(" ").append(field.key).append("=");
        line += is_plain(field.value) ? field.value : quoted(field.value);
    }
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

} // namespace citronseam
