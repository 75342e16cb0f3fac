// Carries out the steps of a scenario against real processes.
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
constexpr std::size_t weights_size = 512 * kibibyte;

/// Ends of names: a backend server's process, and beginnings: a zone, which is a region of its own.
constexpr std::string_view server_mark = "-server";
constexpr std::string_view zone_mark = "zone-";

bool is_server(const std::string& process) {
    return process.size() > server_mark.size() &&
           process.compare(process.size() - server_mark.size(), server_mark.size(), server_mark) ==
               0;
}

/// Thrown inside a step and caught by run(): the word that is wrong, and why.
struct step_failure {
    std::string word;
    std::string message;
};

milliseconds duration_of(const std::string& word) {
    const auto parsed = parse_duration(word);
    if (!parsed) {
        throw step_failure{word, parsed.error().message};
    }
    return *parsed;
}

int number_of(const std::string& word) {
    int value = 0;
    const char* end = word.data() + word.size();
    const auto [rest, failed] = std::from_chars(word.data(), end, value);
    if (failed != std::errc{} || rest != end) {
        throw step_failure{word, "expected a whole number"};
    }
    return value;
}

/// The deployment of all scenarios: two zones, two engines, two plain servers, three entries.
deployment_plan scenario_plan() {
    deployment_plan plan = small_plan();
    plan.entry_zones = {"zone-a", "zone-b", "zone-b"};
    plan.has_relays = true;
    plan.has_region_links = true;
    const std::vector<std::string> engine{"--cold-requests", "1", "--print-record"};
    const std::vector<std::string> plain{"--work-ms", "150", "--print-record"};
    plan.backend_servers = {{"agent-a", "pool", "zone-a", true, engine},
                            {"agent-b", "pool", "zone-b", true, engine},
                            {"agent-d", "desk", "zone-a", false, plain},
                            {"agent-e", "desk", "zone-b", false, plain}};
    return plan;
}

/// What one run remembers.
class runner {
public:
    void carry_out(const step& current) {
        const std::string& name = current.words.front();
        const std::vector<std::string> rest(current.words.begin() + 1, current.words.end());
        if (name == "start") {
            system_ = std::make_unique<deployment>(scenario_plan());
            system_->start();
        } else if (system_ == nullptr) {
            throw step_failure{name, "the first step must be 'start'"};
        } else if (name == "expect") {
            expect(rest);
        } else if (name == "race") {
            race(rest);
        } else if (!act_on_process(name, rest) && !act_on_platform(name, rest)) {
            act_on_system(name, rest);
        }
    }

private:
    deployment& system() { return *system_; }

    child_process& process(const std::string& name) {
        try {
            return system().process(name);
        } catch (const std::out_of_range&) {
            throw step_failure{name, "there is no such process"};
        }
    }

    relay& link(const std::string& name) {
        try {
            return system().link(name);
        } catch (const std::out_of_range&) {
            throw step_failure{name, "there is no such link"};
        }
    }

    bool act_on_process(const std::string& name, const std::vector<std::string>& rest) {
        static const std::map<std::string, int> signals{
            {"kill", SIGKILL}, {"freeze", SIGSTOP}, {"thaw", SIGCONT}, {"leave", SIGTERM}};
        const auto signal = signals.find(name);
        if (signal != signals.end()) {
            process(rest[0]).send_signal(signal->second);
            return true;
        }
        if (name == "restart" && is_server(rest[0])) {
            process(rest[0]).send_signal(SIGKILL);
            system().restart_backend_server(rest[0].substr(0, rest[0].size() - server_mark.size()));
            return true;
        }
        if (name == "restart") {
            process(rest[0]).send_signal(SIGKILL);
            system().restart(rest[0]);
            system().list_instance(rest[0]);
            return true;
        }
        return false;
    }

    bool act_on_platform(const std::string& name, const std::vector<std::string>& rest) {
        const bool is_cut_or_heal = name == "cut" || name == "heal";
        if (is_cut_or_heal && rest[0].rfind(zone_mark, 0) == 0) {
            system().cut_region(rest[0], name == "cut");
        } else if (is_cut_or_heal) {
            link(rest[0]).set_cut(name == "cut");
        } else if (name == "silence") {
            link(rest[0]).silence_open_connections();
        } else if (name == "corrupt") {
            link(rest[0]).corrupt_blocks(number_of(rest[1]));
        } else if (name == "outage") {
            system().set_faults(rest[0], {{"down", true}});
        } else if (name == "hang") {
            system().set_faults(rest[0], {{"hang", true}});
        } else if (name == "recover") {
            system().set_faults(rest[0], {{"down", false}, {"hang", false}});
        } else if (name == "lose") {
            system().set_faults(rest[0], {{"lose_answers", number_of(rest[1])}});
        } else {
            return false;
        }
        return true;
    }

    void act_on_system(const std::string& name, const std::vector<std::string>& rest) {
        if (name == "load") {
            const std::string length = std::to_string(duration_of(rest[2]).count() / 1000);
            loads_[rest[0]] =
                system().start_load({"--service", "pool", "--rate", rest[1], "--seconds", length,
                                     "--tokens", "6", "--prompt-prefix", rest[0]});
        } else if (name == "join") {
            join(rest[0]);
        } else if (name == "book") {
            const auto entry = static_cast<std::size_t>(number_of(rest[1]));
            bookings_[rest[0]] = start_booking(system(), entry, rest[0], call_timeout);
        } else if (name == "await") {
            answers_[rest[0]] = bookings_.at(rest[0]).get();
        } else if (name == "again") {
            const auto entry = static_cast<std::size_t>(number_of(rest[1]));
            answers_[rest[0]] = book(system(), entry, rest[0], "berth 7", call_timeout);
        } else if (name == "zone") {
            system().tool({"zone", rest[0], rest[1]});
            zone_moment_ms_ = wall_clock_ms();
        } else if (name == "release") {
            system().release("pool", weights_size, static_cast<std::uint64_t>(number_of(rest[0])));
        } else if (name == "wait") {
            std::this_thread::sleep_for(duration_of(rest[0]));
        }
    }

    void join(const std::string& name) {
        const auto found = loads_.find(name);
        if (found == loads_.end()) {
            throw step_failure{name, "there is no load of that name"};
        }
        results_[name] = deployment::load_result(*found->second);
    }

    /// Two operators change the configuration at once.
    void race(const std::vector<std::string>& rest) {
        if (rest.size() != 2) {
            throw step_failure{"race", "expected two availability zones"};
        }
        auto first = std::async(std::launch::async, [&] {
            return system().tool({"zone", "out", rest[0]}).status;
        });
        auto second = std::async(std::launch::async, [&] {
            return system().tool({"zone", "in", rest[1]}).status;
        });
        if (first.get() != 0 || second.get() != 0) {
            throw step_failure{"race", "an operator's change was lost"};
        }
    }

    // Expectations.

    void expect(const std::vector<std::string>& rest) {
        if (rest.empty()) {
            throw step_failure{"expect", "what to expect is missing"};
        }
        const std::string& what = rest[0];
        if (what == "whole" && rest.size() == 2) {
            expect_whole(rest[1]);
        } else if (what == "answered" && rest.size() == 2) {
            expect_answered(rest[1]);
        } else if (what == "once" && rest.size() == 2) {
            expect_once(rest[1]);
        } else if (what == "quiet" && rest.size() == 3) {
            expect_quiet(rest[1], duration_of(rest[2]));
        } else if (what == "version" && rest.size() == 2) {
            expect_version(duration_of(rest[1]));
        } else if (what == "generation" && rest.size() == 2) {
            expect_generation(duration_of(rest[1]));
        } else if (what == "serving" && rest.size() == 2) {
            expect_serving(duration_of(rest[1]));
        } else if (what == "ended" && rest.size() == 3) {
            expect_ended(rest[1], duration_of(rest[2]));
        } else {
            throw step_failure{what, "expected whole, answered, once, quiet, version, generation, "
                                     "serving or ended, each with its words"};
        }
    }

    const nlohmann::json& result_of(const std::string& name) {
        const auto found = results_.find(name);
        if (found == results_.end()) {
            throw step_failure{name, "join the load before expecting of it"};
        }
        return found->second;
    }

    void expect_whole(const std::string& name) {
        const auto& result = result_of(name);
        if (!result.is_object() || result["short_answers"] != 0) {
            throw step_failure{name, "an answer that looked whole was not: " + result.dump()};
        }
    }

    void expect_answered(const std::string& name) {
        const auto& result = result_of(name);
        if (!result.is_object() || result["answered"] != result["sent"]) {
            throw step_failure{name, "not all were answered: " + result.dump()};
        }
    }

    void expect_once(const std::string& key) {
        const int runs = system().count_runs_of_service("desk", "key", key);
        const auto answer = answers_.find(key);
        const std::string verdict = answer == answers_.end() ? "" : verdict_of(answer->second);
        if (runs > 1) {
            throw step_failure{key, "ran " + std::to_string(runs) + " times"};
        }
        if (verdict == "not_run" && runs != 0) {
            throw step_failure{key, "the caller was told not_run, and it ran"};
        }
        if (verdict == "ran" && runs != 1) {
            throw step_failure{key, "the caller was told ran, and it did not run"};
        }
    }

    void expect_quiet(const std::string& agent, milliseconds after) {
        const std::uint64_t moment = zone_moment_ms_ + static_cast<std::uint64_t>(after.count());
        for (const auto& event : system().record(agent + "-server")) {
            const bool is_run = event.value("event", "") == "run";
            if (is_run && event.value("at_ms", std::uint64_t{0}) > moment) {
                throw step_failure{agent, "new work came after the bound: " + event.dump()};
            }
        }
    }

    void expect_version(milliseconds bound) {
        const auto status = system().tool({"rollout", "status", "pool"});
        const auto json = nlohmann::json::parse(status.output, nullptr, false);
        const std::string wanted = json.is_object() ? json["version"] : "";
        const bool is_everywhere = wait_until(
            [&] {
                for (const auto* server : {"agent-a-server", "agent-b-server"}) {
                    const auto answer = system().ask(
                        "GET", "http://" + system().address(server, "http") + "/admin/status");
                    const auto engine = nlohmann::json::parse(answer.body, nullptr, false);
                    if (!engine.is_object() || engine["version"] != wanted) {
                        return false;
                    }
                }
                return true;
            },
            bound);
        if (!is_everywhere) {
            throw step_failure{"version", wanted + " is not in force on every engine"};
        }
    }

    void expect_generation(milliseconds bound) {
        const auto history = system().tool({"config", "history"});
        const auto json = nlohmann::json::parse(history.output, nullptr, false);
        if (!json.is_array() || json.empty()) {
            throw step_failure{"generation", "no history: " + history.errors};
        }
        const std::uint64_t accepted = json[0]["generation"];
        const bool is_everywhere = wait_until(
            [&] {
                const auto status = system().status();
                if (!status.is_object()) {
                    return false;
                }
                bool is_all = true;
                for (const auto* list : {"entries", "agents"}) {
                    for (const auto& row : status[list]) {
                        is_all = is_all && row["generation"] == accepted;
                    }
                }
                return is_all;
            },
            bound);
        if (!is_everywhere) {
            throw step_failure{"generation", std::to_string(accepted) +
                                                 " is not in force "
                                                 "everywhere: " +
                                                 system().status().dump()};
        }
        expect_no_return();
    }

    /// No process ever took a lower generation than it had.
    void expect_no_return() {
        for (const auto* name : {"entry-0", "entry-1", "entry-2", "agent-a", "agent-b"}) {
            std::istringstream lines(process(name).output());
            std::uint64_t highest = 0;
            for (std::string line; std::getline(lines, line);) {
                if (line.find("event=configuration_in_force") == std::string::npos) {
                    continue;
                }
                const std::uint64_t generation = std::stoull(log_value(line, "generation"));
                if (generation <= highest) {
                    throw step_failure{name,
                                       "went back to generation " + std::to_string(generation)};
                }
                highest = generation;
            }
        }
    }

    void expect_serving(milliseconds bound) {
        for (std::size_t entry = 0; entry < system().entry_count(); ++entry) {
            http_answer answer;
            const bool is_served = wait_until(
                [&] {
                    answer = system().call(entry, "POST", "/v1/completions",
                                           completion("probe", 4, true));
                    return answer.outcome.status == 200 && answer.outcome.is_complete;
                },
                bound);
            if (!is_served) {
                throw step_failure{"serving", "entry-" + std::to_string(entry) +
                                                  " does not answer: " + answer.body};
            }
        }
    }

    void expect_ended(const std::string& name, milliseconds bound) {
        const int status = process(name).wait(bound);
        if (status != 0) {
            throw step_failure{name, "exit code " + std::to_string(status) + " within the bound"};
        }
    }

    std::unique_ptr<deployment> system_;
    std::map<std::string, std::unique_ptr<child_process>> loads_;
    std::map<std::string, nlohmann::json> results_;
    std::map<std::string, std::future<http_answer>> bookings_;
    std::map<std::string, http_answer> answers_;
    std::uint64_t zone_moment_ms_{0};
};

} // namespace

std::vector<problem> run(const parsed_scenario& scenario) {
    if (!scenario.problems.empty()) {
        return scenario.problems;
    }
    std::vector<problem> problems;
    runner current;
    for (const auto& next : scenario.steps) {
        try {
            current.carry_out(next);
        } catch (const step_failure& failure) {
            problems.push_back({next.line, failure.word, failure.message});
        } catch (const std::exception& exception) {
            problems.push_back({next.line, next.words.front(), exception.what()});
            break;
        }
    }
    return problems;
}

} // namespace citronseam::scenario
