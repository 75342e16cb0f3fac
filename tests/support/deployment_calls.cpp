#include <algorithm>
#include <sstream>
#include <thread>

#include "citronseam/process/sizes.h"
#include "support/deployment.h"
#include "support/program.h"

namespace citronseam::harness {
namespace {

constexpr std::size_t max_response_bytes = 64 * mebibyte;
/// From a response of a process until what it printed before is read.
constexpr milliseconds output_timeout{5000};

nlohmann::json parse_printed_events(const std::string& output) {
    constexpr std::string_view line_prefix = "record ";
    nlohmann::json events = nlohmann::json::array();
    std::istringstream lines(output);
    for (std::string line; std::getline(lines, line);) {
        // The last line is incomplete JSON if the process was killed while writing it.
        const auto event = nlohmann::json::parse(
            line.rfind(line_prefix, 0) == 0 ? line.substr(line_prefix.size()) : "", nullptr, false);
        if (event.is_object()) {
            events.push_back(event);
        }
    }
    return events;
}

} // namespace

std::vector<std::string> deployment::tool_arguments() const {
    std::vector<std::string> arguments{"--store",   "http://" + address("store", "http"),
                                       "--weights", "http://" + address("weights", "http"),
                                       "--output",  "json"};
    for (std::size_t i = 0; i < entry_count(); ++i) {
        if (i == only_tool_entry_.value_or(i)) {
            arguments.insert(arguments.end(),
                             {"--entry", address(entry_process_name(i), "operator")});
        }
    }
    return arguments;
}

deployment::tool_result deployment::run_tool(std::vector<std::string> arguments) {
    std::vector<std::string> command{program_path("citronseam")};
    const auto common = tool_arguments();
    command.insert(command.end(), common.begin(), common.end());
    command.insert(command.end(), arguments.begin(), arguments.end());
    child_process run(command);
    constexpr milliseconds tool_timeout{60000};
    tool_result result;
    result.status = run.wait_for_end_of_output(tool_timeout);
    result.output = run.output();
    result.errors = run.errors();
    return result;
}

std::unique_ptr<child_process> deployment::start_load(std::vector<std::string> arguments) {
    std::vector<std::string> command{program_path("citronseam-standin"), "load"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    const bool has_target =
        std::find(arguments.begin(), arguments.end(), "--target") != arguments.end();
    for (std::size_t i = 0; !has_target && i < entry_count(); ++i) {
        command.insert(command.end(),
                       {"--target", "http://" + address(entry_process_name(i), "http")});
    }
    return std::make_unique<child_process>(command);
}

nlohmann::json deployment::wait_for_load_result(child_process& load) {
    constexpr milliseconds load_timeout{120000};
    const std::string line = load.wait_for_line("\"sent\"", load_timeout);
    return nlohmann::json::parse(line, nullptr, false);
}

nlohmann::json deployment::load(std::vector<std::string> arguments) {
    const auto run = start_load(std::move(arguments));
    return wait_for_load_result(*run);
}

http_response deployment::send_http_request(const std::string& method, const std::string& url,
                                            const std::string& body,
                                            std::vector<http_header> headers,
                                            milliseconds timeout) {
    http_request request;
    request.method = method;
    request.url = url;
    request.body = body;
    request.headers = std::move(headers);
    request.timeout = timeout;
    return fetch_blocking(http_, std::move(request), max_response_bytes);
}

http_response deployment::call(std::size_t entry, const std::string& method,
                               const std::string& path, const std::string& body,
                               std::vector<http_header> headers, milliseconds timeout) {
    return send_http_request(method, "http://" + address(entry_process_name(entry), "http") + path,
                             body, std::move(headers), timeout);
}

void deployment::set_faults(const std::string& standin, const nlohmann::json& switches) {
    send_http_request("POST", "http://" + address(standin, "http") + "/faults", switches.dump());
}

nlohmann::json deployment::recorded_events(const std::string& standin) {
    const auto& command = commands_.at(standin);
    const auto response =
        send_http_request("GET", "http://" + address(standin, "http") + "/record");
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    auto events = json.is_object() ? json["record"] : nlohmann::json::array();
    if (std::find(command.begin(), command.end(), "--print-record") == command.end()) {
        return events;
    }
    // What the process has recorded may be read from its pipe later than its responses.
    child_process& printer = process(standin);
    const bool is_read =
        json.is_object()
            ? wait_until(
                  [&] { return parse_printed_events(printer.output()).size() >= events.size(); },
                  output_timeout)
            : printer.wait_for_end_of_output(output_timeout) >= 0;
    if (!is_read) {
        throw std::runtime_error(standin + " has recorded more than it has printed");
    }
    return parse_printed_events(output_before_restart_[standin] + printer.output());
}

int deployment::count_runs(const std::string& standin, const std::string& field,
                           const std::string& value) {
    int count = 0;
    for (const auto& event : recorded_events(standin)) {
        count += event.value("event", "") == "run" && event.value(field, "") == value ? 1 : 0;
    }
    return count;
}

int deployment::count_runs_of_service(const std::string& service, const std::string& field,
                                      const std::string& value) {
    int count = 0;
    for (const auto& plan : plan_.backend_servers) {
        if (plan.service == service) {
            count += count_runs(plan.name + "-server", field, value);
        }
    }
    return count;
}

nlohmann::json deployment::status(std::size_t entry) {
    const auto response = send_http_request(
        "GET", "http://" + address(entry_process_name(entry), "operator") + "/v1/status");
    return nlohmann::json::parse(response.body, nullptr, false);
}

} // namespace citronseam::harness
