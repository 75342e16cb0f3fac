// Executes the steps of a scenario against real processes.
#include <charconv>
#include <csignal>
#include <map>
#include <thread>

#include "citronseam/process/sizes.h"
#include "citronseam/process/units.h"
#include "scenario/scenario.h"
#include "support/requests.h"

namespace citronseam::scenario {
namespace {

using namespace citronseam::harness;

constexpr milliseconds call_timeout{9000};
constexpr std::size_t weights_bytes = 512 * kibibyte;

/// Suffix of the process names of backend servers, and prefix of zone names. Each zone is a region
/// of its own.
constexpr std::string_view server_suffix = "-server";
constexpr std::string_view zone_prefix = "zone-";
/// From a status of a process until the lines that it logged before are read.
constexpr milliseconds log_timeout{5000};

bool is_server(const std::string& process) {
    return process.size() > server_suffix.size() &&
           process.compare(process.size() - server_suffix.size(), server_suffix.size(),
                           server_suffix) == 0;
}

/// Thrown while a step executes and caught by run_scenario().
struct step_error {
    std::string word;
    std::string message;
};

milliseconds parse_step_duration(const std::string& word) {
    const auto parsed = parse_duration(word);
    if (!parsed) {
        throw step_error{word, parsed.error().message};
    }
    return *parsed;
}

int parse_step_number(const std::string& word) {
    int value = 0;
    const char* end = word.data() + word.size();
    const auto [parsed_end, parse_status] = std::from_chars(word.data(), end, value);
    if (parse_status != std::errc{} || parsed_end != end) {
        throw step_error{word, "expected an integer"};
    }
    return value;
}

/// @return the plan of all scenarios: two zones, two engines, two plain servers, three entries
deployment_plan scenario_plan() {
    deployment_plan plan = small_deployment_plan();
    plan.entry_zones = {"zone-a", "zone-b", "zone-b"};
    plan.has_proxies = true;
    plan.can_partition_regions = true;
    const std::vector<std::string> engine{"--cold-requests", "1", "--print-record"};
    const std::vector<std::string> plain{"--work-ms", "150", "--print-record"};
    plan.backend_servers = {{"agent-a", "pool", "zone-a", true, engine},
                            {"agent-b", "pool", "zone-b", true, engine},
                            {"agent-d", "desk", "zone-a", false, plain},
                            {"agent-e", "desk", "zone-b", false, plain}};
    return plan;
}

/// State of one run of a scenario.
class scenario_runner {
public:
    void execute(const step& current) {
        const std::string& name = current.words.front();
        const std::vector<std::string> arguments(current.words.begin() + 1, current.words.end());
        if (name == "start") {
            system_ = std::make_unique<deployment>(scenario_plan());
            system_->start();
        } else if (system_ == nullptr) {
            throw step_error{name, "the first step must be 'start'"};
        } else if (name == "expect") {
            check_expectation(arguments);
        } else if (name == "race") {
            run_concurrent_zone_changes(arguments);
        } else if (!execute_process_step(name, arguments) && !execute_fault_step(name, arguments)) {
            execute_system_step(name, arguments);
        }
    }

private:
    deployment& system() { return *system_; }

    child_process& process(const std::string& name) {
        try {
            return system().process(name);
        } catch (const std::out_of_range&) {
            throw step_error{name, "no process has this name"};
        }
    }

    relay& proxy(const std::string& name) {
        try {
            return system().proxy(name);
        } catch (const std::out_of_range&) {
            throw step_error{name, "no proxy has this name"};
        }
    }

    bool execute_process_step(const std::string& name, const std::vector<std::string>& arguments) {
        static const std::map<std::string, int> signals{
            {"kill", SIGKILL}, {"freeze", SIGSTOP}, {"thaw", SIGCONT}, {"leave", SIGTERM}};
        const auto signal = signals.find(name);
        if (signal != signals.end()) {
            process(arguments[0]).send_signal(signal->second);
            return true;
        }
        if (name == "restart" && is_server(arguments[0])) {
            process(arguments[0]).send_signal(SIGKILL);
            system().restart_backend_server(
                arguments[0].substr(0, arguments[0].size() - server_suffix.size()));
            return true;
        }
        if (name == "restart") {
            process(arguments[0]).send_signal(SIGKILL);
            system().restart(arguments[0]);
            system().register_instance(arguments[0]);
            return true;
        }
        return false;
    }

    bool execute_fault_step(const std::string& name, const std::vector<std::string>& arguments) {
        const bool is_cut_or_heal = name == "cut" || name == "heal";
        if (is_cut_or_heal && arguments[0].rfind(zone_prefix, 0) == 0) {
            system().set_region_partitioned(arguments[0], name == "cut");
        } else if (is_cut_or_heal) {
            proxy(arguments[0]).set_disconnected(name == "cut");
        } else if (name == "silence") {
            proxy(arguments[0]).blackhole_open_connections();
        } else if (name == "corrupt") {
            proxy(arguments[0]).corrupt_next_blocks(parse_step_number(arguments[1]));
        } else if (name == "outage") {
            system().set_faults(arguments[0], {{"down", true}});
        } else if (name == "hang") {
            system().set_faults(arguments[0], {{"hang", true}});
        } else if (name == "recover") {
            system().set_faults(arguments[0], {{"down", false}, {"hang", false}});
        } else if (name == "lose") {
            system().set_faults(arguments[0], {{"lose_answers", parse_step_number(arguments[1])}});
        } else {
            return false;
        }
        return true;
    }

    void execute_system_step(const std::string& name, const std::vector<std::string>& arguments) {
        if (name == "load") {
            const std::string length =
                std::to_string(parse_step_duration(arguments[2]).count() / 1000);
            loads_[arguments[0]] =
                system().start_load({"--service", "pool", "--rate", arguments[1], "--seconds",
                                     length, "--tokens", "6", "--prompt-prefix", arguments[0]});
        } else if (name == "join") {
            join_load(arguments[0]);
        } else if (name == "book") {
            const auto entry = static_cast<std::size_t>(parse_step_number(arguments[1]));
            bookings_[arguments[0]] = start_booking(system(), entry, arguments[0], call_timeout);
        } else if (name == "await") {
            answers_[arguments[0]] = bookings_.at(arguments[0]).get();
        } else if (name == "again") {
            const auto entry = static_cast<std::size_t>(parse_step_number(arguments[1]));
            answers_[arguments[0]] =
                send_booking(system(), entry, arguments[0], "berth 7", call_timeout);
        } else if (name == "zone") {
            system().run_tool({"zone", arguments[0], arguments[1]});
            zone_change_ms_ = wall_clock_ms();
        } else if (name == "release") {
            system().release("pool", weights_bytes,
                             static_cast<std::uint64_t>(parse_step_number(arguments[0])));
        } else if (name == "wait") {
            std::this_thread::sleep_for(parse_step_duration(arguments[0]));
        }
    }

    void join_load(const std::string& name) {
        const auto found = loads_.find(name);
        if (found == loads_.end()) {
            throw step_error{name, "no load has this name"};
        }
        load_results_[name] = deployment::wait_for_load_result(*found->second);
    }

    /// Takes one zone out of service and another into service at the same time.
    void run_concurrent_zone_changes(const std::vector<std::string>& arguments) {
        if (arguments.size() != 2) {
            throw step_error{"race", "expected two availability zones"};
        }
        auto first = std::async(std::launch::async, [&] {
            return system().run_tool({"zone", "out", arguments[0]}).status;
        });
        auto second = std::async(std::launch::async, [&] {
            return system().run_tool({"zone", "in", arguments[1]}).status;
        });
        if (first.get() != 0 || second.get() != 0) {
            throw step_error{"race", "one of the concurrent configuration changes failed"};
        }
    }

    // Expectations.

    void check_expectation(const std::vector<std::string>& arguments) {
        if (arguments.empty()) {
            throw step_error{"expect", "the expectation is missing"};
        }
        const std::string& expectation = arguments[0];
        if (expectation == "whole" && arguments.size() == 2) {
            expect_complete_responses(arguments[1]);
        } else if (expectation == "answered" && arguments.size() == 2) {
            expect_all_answered(arguments[1]);
        } else if (expectation == "once" && arguments.size() == 2) {
            expect_at_most_one_run(arguments[1]);
        } else if (expectation == "quiet" && arguments.size() == 3) {
            expect_no_new_requests(arguments[1], parse_step_duration(arguments[2]));
        } else if (expectation == "version" && arguments.size() == 2) {
            expect_version(parse_step_duration(arguments[1]));
        } else if (expectation == "generation" && arguments.size() == 2) {
            expect_generation(parse_step_duration(arguments[1]));
        } else if (expectation == "serving" && arguments.size() == 2) {
            expect_serving(parse_step_duration(arguments[1]));
        } else if (expectation == "ended" && arguments.size() == 3) {
            expect_clean_exit(arguments[1], parse_step_duration(arguments[2]));
        } else {
            throw step_error{expectation,
                             "expected whole, answered, once, quiet, version, generation, "
                             "serving or ended, each with its arguments"};
        }
    }

    const nlohmann::json& load_result_of(const std::string& name) {
        const auto found = load_results_.find(name);
        if (found == load_results_.end()) {
            throw step_error{name, "no result yet; add a 'join' step for this load first"};
        }
        return found->second;
    }

    void expect_complete_responses(const std::string& name) {
        const auto& result = load_result_of(name);
        if (!result.is_object() || result["short_answers"] != 0) {
            throw step_error{name,
                             "a response that was reported as complete is short: " + result.dump()};
        }
    }

    void expect_all_answered(const std::string& name) {
        const auto& result = load_result_of(name);
        if (!result.is_object() || result["answered"] != result["sent"]) {
            throw step_error{name, "not all requests were answered: " + result.dump()};
        }
    }

    void expect_at_most_one_run(const std::string& key) {
        const int runs = system().count_runs_of_service("desk", "key", key);
        const auto answer = answers_.find(key);
        const std::string verdict = answer == answers_.end() ? "" : verdict_of(answer->second);
        if (runs > 1) {
            throw step_error{key, "ran " + std::to_string(runs) + " times"};
        }
        if (verdict == "not_run" && runs != 0) {
            throw step_error{key, "the verdict was not_run, but the request ran"};
        }
        if (verdict == "ran" && runs != 1) {
            throw step_error{key, "the verdict was ran, but the request did not run"};
        }
    }

    void expect_no_new_requests(const std::string& agent, milliseconds after) {
        const std::uint64_t latest_start_ms =
            zone_change_ms_ + static_cast<std::uint64_t>(after.count());
        for (const auto& event : system().recorded_events(agent + "-server")) {
            const bool is_run = event.value("event", "") == "run";
            if (is_run && event.value("at_ms", std::uint64_t{0}) > latest_start_ms) {
                throw step_error{agent, "a request started after the time limit: " + event.dump()};
            }
        }
    }

    void expect_version(milliseconds timeout) {
        const auto status = system().run_tool({"rollout", "status", "pool"});
        const auto json = nlohmann::json::parse(status.output, nullptr, false);
        const std::string target_version = json.is_object() ? json["version"] : "";
        const bool is_active_everywhere = wait_until(
            [&] {
                for (const auto* server : {"agent-a-server", "agent-b-server"}) {
                    const auto answer = system().send_http_request(
                        "GET", "http://" + system().address(server, "http") + "/admin/status");
                    const auto engine = nlohmann::json::parse(answer.body, nullptr, false);
                    if (!engine.is_object() || engine["version"] != target_version) {
                        return false;
                    }
                }
                return true;
            },
            timeout);
        if (!is_active_everywhere) {
            throw step_error{"version", target_version + " is not served by every engine"};
        }
    }

    void expect_generation(milliseconds timeout) {
        const auto history = system().run_tool({"config", "history"});
        const auto json = nlohmann::json::parse(history.output, nullptr, false);
        if (!json.is_array() || json.empty()) {
            throw step_error{"generation", "no history: " + history.errors};
        }
        const std::uint64_t accepted = json[0]["generation"];
        const bool is_active_everywhere = wait_until(
            [&] {
                const auto status = system().status();
                if (!status.is_object()) {
                    return false;
                }
                bool all_match = true;
                for (const auto* list : {"entries", "agents"}) {
                    for (const auto& row : status[list]) {
                        all_match = all_match && row["generation"] == accepted;
                    }
                }
                return all_match;
            },
            timeout);
        if (!is_active_everywhere) {
            throw step_error{"generation",
                             std::to_string(accepted) +
                                 " is not active everywhere: " + system().status().dump()};
        }
        expect_rising_generations(accepted);
    }

    /// Checks that the generations a process activated only increased, up to the accepted one.
    void expect_rising_generations(std::uint64_t accepted) {
        for (const auto* name : {"entry-0", "entry-1", "entry-2", "agent-a", "agent-b"}) {
            const std::string last =
                "event=configuration_in_force generation=" + std::to_string(accepted) + " ";
            if (process(name).wait_for_line(last, log_timeout).empty()) {
                throw step_error{name, "no line says that it activated generation " +
                                           std::to_string(accepted)};
            }
            std::istringstream lines(process(name).output());
            std::uint64_t highest = 0;
            for (std::string line; std::getline(lines, line);) {
                if (line.find("event=configuration_in_force") == std::string::npos) {
                    continue;
                }
                const std::uint64_t generation = std::stoull(log_field_value(line, "generation"));
                if (generation <= highest) {
                    throw step_error{name, "activated a generation that was not newer: " +
                                               std::to_string(generation)};
                }
                highest = generation;
            }
        }
    }

    void expect_serving(milliseconds timeout) {
        for (std::size_t entry = 0; entry < system().entry_count(); ++entry) {
            http_response answer;
            const bool has_answered = wait_until(
                [&] {
                    answer = system().call(entry, "POST", "/v1/completions",
                                           completion_body("probe", 4, true));
                    return answer.outcome.status == 200 && answer.outcome.is_complete;
                },
                timeout);
            if (!has_answered) {
                throw step_error{"serving", "entry-" + std::to_string(entry) +
                                                " does not answer: " + answer.body};
            }
        }
    }

    void expect_clean_exit(const std::string& name, milliseconds timeout) {
        const int status = process(name).wait_for_exit(timeout);
        if (status != 0) {
            throw step_error{name, "exit code " + std::to_string(status) +
                                       "; expected 0 (-1: still running at the timeout)"};
        }
    }

    std::unique_ptr<deployment> system_;
    std::map<std::string, std::unique_ptr<child_process>> loads_;
    std::map<std::string, nlohmann::json> load_results_;
    std::map<std::string, std::future<http_response>> bookings_;
    std::map<std::string, http_response> answers_;
    std::uint64_t zone_change_ms_{0};
};

} // namespace

std::vector<problem> run_scenario(const parsed_scenario& scenario) {
    if (!scenario.problems.empty()) {
        return scenario.problems;
    }
    std::vector<problem> problems;
    scenario_runner executor;
    for (const auto& current_step : scenario.steps) {
        try {
            executor.execute(current_step);
        } catch (const step_error& error) {
            problems.push_back({current_step.line, error.word, error.message});
        } catch (const std::exception& exception) {
            problems.push_back({current_step.line, current_step.words.front(), exception.what()});
            break;
        }
    }
    return problems;
}

} // namespace citronseam::scenario
