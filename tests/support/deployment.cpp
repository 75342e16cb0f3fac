#include "support/deployment.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>

#include "citronseam/process/sizes.h"

namespace citronseam::harness {
namespace {

constexpr milliseconds start_bound{10000};
constexpr std::size_t largest_answer = 64 * mebibyte;
constexpr std::size_t small_model_size = 300 * kibibyte;
constexpr const char* small_chunk = "65536";

std::string program(const std::string& name) {
    return std::string(CITRONSEAM_BIN_DIR) + "/" + name;
}

std::string entry_name(std::size_t index) {
    return "entry-" + std::to_string(index);
}

} // namespace

bool wait_until(const std::function<bool()>& condition, milliseconds bound) {
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

std::string make_weights(std::size_t size, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::string content(size, '\0');
    for (char& letter : content) {
        letter = static_cast<char>(random());
    }
    return content;
}

std::string test_configuration(const std::map<std::string, std::string>& changes) {
    std::string text = R"(deployment: test
regions:
  - name: region-a
    link_rate: 20Mbit/s
  - name: region-b
    link_rate: 20Mbit/s
availability_zones:
  - name: zone-a
    region: region-a
    in_service: true
  - name: zone-b
    region: region-b
    in_service: true
workspaces:
  - name: large
    weight: 1
    queue_limit: 512
  - name: small
    weight: 1
    queue_limit: 64
services:
  - name: pool
    kind: engine
    limits:
      cold_concurrency: 1
      max_concurrency: 8
      queue_limit: 256
      request_timeout: 10s
      retry_percent: 20
    rollout:
      parallel_per_zone: 1
  - name: desk
    kind: plain
    limits:
      cold_concurrency: 4
      max_concurrency: 16
      request_timeout: 5s
    idempotency:
      - method: POST
        path: /lookups
        idempotent: true
)";
    for (const auto& [before, after] : changes) {
        const auto found = text.find(before);
        if (found == std::string::npos) {
            throw std::invalid_argument("the configuration has no text: " + before);
        }
        text.replace(found, before.size(), after);
    }
    return text;
}

deployment_plan small_plan() {
    deployment_plan plan;
    plan.configuration = test_configuration();
    plan.backend_servers = {{"agent-a", "pool", "zone-a", true, {}},
                            {"agent-b", "pool", "zone-b", true, {}},
                            {"agent-d", "desk", "zone-a", false, {}}};
    return plan;
}

deployment::deployment(deployment_plan plan) : plan_(std::move(plan)) {
    std::string pattern = (std::filesystem::temp_directory_path() / "citronseam-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    folder_ = pattern;
}

deployment::~deployment() {
    processes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string deployment::write_file(const std::string& name, const std::string& content) {
    std::string path = folder_ + "/" + name;
    std::ofstream(path, std::ios::binary) << content;
    return path;
}

void deployment::restart(const std::string& name) {
    processes_.erase(name);
    processes_[name] = std::make_unique<child_process>(commands_.at(name));
    const std::string line = processes_[name]->wait_for_line("event=listening", start_bound);
    if (line.empty()) {
        throw std::runtime_error(name + " did not start: " + processes_[name]->output() +
                                 processes_[name]->errors());
    }
    const auto swarm = relays_.find("swarm:" + name);
    if (swarm != relays_.end()) {
        swarm->second->set_target("127.0.0.1:" + log_value(line, "peer_port"));
    }
    for (const auto* purpose : {"http", "peer", "operator"}) {
        const std::string value = log_value(line, purpose);
        if (!value.empty()) {
            addresses_[name][purpose] = value;
        }
    }
}

void deployment::start_second(const std::string& name, const std::string& second) {
    commands_[second] = commands_.at(name);
    zones_[second] = zones_.at(name);
    restart(second);
}

void deployment::start_platform() {
    commands_["store"] = {program("citronseam-standin"), "store"};
    commands_["weights"] = {program("citronseam-standin"), "weights", "--rate",
                            std::to_string(plan_.origin_rate)};
    commands_["instances"] = {program("citronseam-standin"), "instances", "--lag-ms",
                              std::to_string(plan_.list_lag_ms)};
    for (const auto* name : {"store", "weights", "instances"}) {
        restart(name);
    }
}

std::string deployment::platform_settings(const std::string& name) {
    std::string table = address("store", "http");
    if (plan_.has_relays) {
        auto& store = relays_["store:" + name];
        store = std::make_unique<relay>(table);
        table = store->address();
    }
    return "platform:\n  table_service: http://" + table + "\n  object_store: http://" +
           address("store", "http") + "\n  weight_store: http://" + address("weights", "http") +
           "\n  instance_list: http://" + address("instances", "http") + "/instances\n" +
           plan_.control;
}

void deployment::start_entry(std::size_t index) {
    const std::string name = entry_name(index);
    const std::string& zone = plan_.entry_zones[index];
    zones_[name] = zone;
    const std::string text = "role: entry\ninstance: " + name + "\navailability_zone: " + zone +
                             "\nlisten:\n  http: 127.0.0.1:0\n  peer: 127.0.0.1:0\n"
                             "  operator: 127.0.0.1:0\n" +
                             platform_settings(name);
    commands_[name] = {program("citronseamd"), "--settings", write_file(name + ".yaml", text)};
    restart(name);
    list_instance(name);
}

void deployment::start_backend_server(const backend_server_plan& plan) {
    const std::string name = plan.name + "-server";
    std::vector<std::string> command{program("citronseam-standin"),
                                     plan.is_engine ? "engine" : "plain"};
    command.insert(command.end(), plan.arguments.begin(), plan.arguments.end());
    commands_[name] = command;
    restart(name);
}

void deployment::restart_backend_server(const std::string& name) {
    const std::string standin = name + "-server";
    std::vector<std::string>& command = commands_.at(standin);
    const std::string before = address(standin, "http");
    if (std::find(command.begin(), command.end(), "--listen") == command.end()) {
        command.insert(command.end(), {"--listen", before});
    }
    restart(standin);
}

void deployment::start_agent(const backend_server_plan& plan) {
    zones_[plan.name] = plan.availability_zone;
    std::string advertised;
    if (plan_.has_relays) {
        auto& swarm = relays_["swarm:" + plan.name];
        swarm = std::make_unique<relay>();
        advertised = "\n  peer_advertised: " + swarm->address();
    }
    const std::string text = "role: agent\ninstance: " + plan.name +
                             "\navailability_zone: " + plan.availability_zone +
                             "\nlisten:\n  peer: 127.0.0.1:0\n  operator: 127.0.0.1:0" +
                             advertised + "\nweight_memory: " + plan_.weight_memory +
                             "\nbackend_server:\n  service: " + plan.service +
                             "\n  address: " + address(plan.name + "-server", "http") + "\n" +
                             platform_settings(plan.name);
    commands_[plan.name] = {program("citronseamd"), "--settings",
                            write_file(plan.name + ".yaml", text)};
    restart(plan.name);
    list_instance(plan.name);
}

void deployment::add_backend_server(const backend_server_plan& plan) {
    start_backend_server(plan);
    start_agent(plan);
}

void deployment::add_entry(const std::string& zone) {
    plan_.entry_zones.push_back(zone);
    start_entry(plan_.entry_zones.size() - 1);
}

void deployment::list_instance(const std::string& name, bool is_leaving) {
    const bool is_entry = name.rfind("entry-", 0) == 0;
    std::string peer = addresses_[name]["peer"];
    if (is_entry && plan_.has_relays) {
        auto& before = relays_["peer:" + name];
        if (before == nullptr) {
            before = std::make_unique<relay>();
        }
        before->set_target(peer);
        peer = before->address();
    }
    nlohmann::json row = {{"role", is_entry ? "entry" : "agent"},
                          {"availability_zone", zones_.at(name)},
                          {"peer_address", peer},
                          {"http_address", addresses_[name]["http"]},
                          {"leaving", is_leaving}};
    ask("PUT", "http://" + address("instances", "http") + "/instances/" + name, row.dump());
}

void deployment::unlist_instance(const std::string& name) {
    ask("DELETE", "http://" + address("instances", "http") + "/instances/" + name);
}

void deployment::start_processes() {
    start_platform();
    for (std::size_t i = 0; i < plan_.entry_zones.size(); ++i) {
        start_entry(i);
    }
    for (const auto& plan : plan_.backend_servers) {
        add_backend_server(plan);
    }
}

void deployment::apply(const std::string& configuration) {
    const auto applied = tool({"config", "apply", write_file("configuration.yaml", configuration)});
    if (applied.status != 0) {
        throw std::runtime_error("the configuration was not applied: " + applied.errors);
    }
}

void deployment::start() {
    start_processes();
    apply(plan_.configuration);
    std::map<std::string, bool> services;
    for (const auto& plan : plan_.backend_servers) {
        services[plan.service] = plan.is_engine;
    }
    for (const auto& [service, is_engine] : services) {
        if (is_engine && release(service, small_model_size, 1).status != 0) {
            throw std::runtime_error("the release of " + service + " failed");
        }
    }
    if (!wait_until_ready()) {
        throw std::runtime_error("not all agents became ready: " + status().dump());
    }
}

bool deployment::wait_until_ready(milliseconds bound) {
    return wait_until(
        [this] {
            for (std::size_t i = 0; i < entry_count(); ++i) {
                const auto now = status(i);
                if (!now.is_object() || now["agents"].size() != agent_count()) {
                    return false;
                }
                for (const auto& agent : now["agents"]) {
                    if (!agent["ready"].get<bool>() || agent["limit"].get<int>() == 0) {
                        return false;
                    }
                }
            }
            return true;
        },
        bound);
}

deployment::tool_result deployment::release(const std::string& service, std::size_t size,
                                            std::uint64_t seed) {
    const std::string path =
        write_file("weights-" + std::to_string(seed), make_weights(size, seed));
    return tool({"release", service, "--file", path, "--chunk-size", small_chunk});
}

std::vector<std::string> deployment::tool_arguments() const {
    std::vector<std::string> arguments{"--store",   "http://" + address("store", "http"),
                                       "--weights", "http://" + address("weights", "http"),
                                       "--output",  "json"};
    for (std::size_t i = 0; i < entry_count(); ++i) {
        arguments.insert(arguments.end(), {"--entry", address(entry_name(i), "operator")});
    }
    return arguments;
}

deployment::tool_result deployment::tool(std::vector<std::string> arguments) {
    std::vector<std::string> command{program("citronseam")};
    const auto common = tool_arguments();
    command.insert(command.end(), common.begin(), common.end());
    command.insert(command.end(), arguments.begin(), arguments.end());
    child_process run(command);
    constexpr milliseconds longest_run{60000};
    tool_result ended;
    ended.status = run.wait(longest_run);
    // The pipes are drained a moment after the process ended.
    std::this_thread::sleep_for(milliseconds(20));
    ended.output = run.output();
    ended.errors = run.errors();
    return ended;
}

std::unique_ptr<child_process> deployment::start_load(std::vector<std::string> arguments) {
    std::vector<std::string> command{program("citronseam-standin"), "load"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    const bool has_target =
        std::find(arguments.begin(), arguments.end(), "--target") != arguments.end();
    for (std::size_t i = 0; !has_target && i < entry_count(); ++i) {
        command.insert(command.end(), {"--target", "http://" + address(entry_name(i), "http")});
    }
    return std::make_unique<child_process>(command);
}

nlohmann::json deployment::load_result(child_process& load) {
    constexpr milliseconds longest_load{120000};
    const std::string line = load.wait_for_line("\"sent\"", longest_load);
    return nlohmann::json::parse(line, nullptr, false);
}

nlohmann::json deployment::load(std::vector<std::string> arguments) {
    const auto run = start_load(std::move(arguments));
    return load_result(*run);
}

http_answer deployment::ask(const std::string& method, const std::string& url,
                            const std::string& body, std::vector<http_header> headers,
                            milliseconds timeout) {
    http_request request;
    request.method = method;
    request.url = url;
    request.body = body;
    request.headers = std::move(headers);
    request.timeout = timeout;
    return fetch_and_wait(http_, std::move(request), largest_answer);
}

http_answer deployment::call(std::size_t entry, const std::string& method, const std::string& path,
                             const std::string& body, std::vector<http_header> headers,
                             milliseconds timeout) {
    return ask(method, "http://" + address(entry_name(entry), "http") + path, body,
               std::move(headers), timeout);
}

void deployment::set_faults(const std::string& standin, const nlohmann::json& switches) {
    ask("POST", "http://" + address(standin, "http") + "/faults", switches.dump());
}

nlohmann::json deployment::record(const std::string& standin) {
    const auto answer = ask("GET", "http://" + address(standin, "http") + "/record");
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    return json.is_object() ? json["record"] : nlohmann::json::array();
}

int deployment::count_runs(const std::string& standin, const std::string& field,
                           const std::string& value) {
    int count = 0;
    for (const auto& event : record(standin)) {
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
    const auto answer =
        ask("GET", "http://" + address(entry_name(entry), "operator") + "/v1/status");
    return nlohmann::json::parse(answer.body, nullptr, false);
}

child_process& deployment::process(const std::string& name) {
    return *processes_.at(name);
}

std::string deployment::address(const std::string& name, const std::string& purpose) const {
    return addresses_.at(name).at(purpose);
}

} // namespace citronseam::harness
