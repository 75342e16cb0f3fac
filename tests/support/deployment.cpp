#include "support/deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>

#include "citronseam/process/sizes.h"
#include "support/program.h"

namespace citronseam::harness {
namespace {

constexpr milliseconds startup_timeout{10000};
constexpr std::size_t small_model_bytes = 300 * kibibyte;
constexpr const char* small_chunk_bytes = "65536";

} // namespace

bool wait_until(const std::function<bool()>& condition, milliseconds timeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

std::string random_weights(std::size_t size, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::string content(size, '\0');
    for (char& byte : content) {
        byte = static_cast<char>(random());
    }
    return content;
}

std::string test_configuration(const std::map<std::string, std::string>& replacements) {
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
    for (const auto& [original, replacement] : replacements) {
        const auto found = text.find(original);
        if (found == std::string::npos) {
            throw std::invalid_argument("the test configuration does not contain: " + original);
        }
        text.replace(found, original.size(), replacement);
    }
    return text;
}

deployment_plan small_deployment_plan() {
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
        throw std::runtime_error("cannot create a temporary directory");
    }
    directory_ = pattern;
}

deployment::~deployment() {
    processes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

std::string deployment::write_file(const std::string& name, const std::string& content) {
    std::string path = directory_ + "/" + name;
    std::ofstream(path, std::ios::binary) << content;
    return path;
}

void deployment::restart(const std::string& name) {
    const auto previous = processes_.find(name);
    if (previous != processes_.end()) {
        // What it printed last is read after its end.
        previous->second->send_signal(SIGKILL);
        previous->second->wait_for_end_of_output(startup_timeout);
        output_before_restart_[name] += previous->second->output();
        processes_.erase(previous);
    }
    processes_[name] = std::make_unique<child_process>(commands_.at(name));
    const std::string line = processes_[name]->wait_for_line("event=listening", startup_timeout);
    if (line.empty()) {
        throw std::runtime_error(name + " did not start: " + processes_[name]->output() +
                                 processes_[name]->errors());
    }
    const auto swarm_proxy = proxies_.find("swarm:" + name);
    if (swarm_proxy != proxies_.end()) {
        swarm_proxy->second->set_target("127.0.0.1:" + log_field_value(line, "peer_port"));
    }
    for (const auto* purpose : {"http", "peer", "operator"}) {
        const std::string value = log_field_value(line, purpose);
        if (!value.empty()) {
            addresses_[name][purpose] = value;
        }
    }
}

void deployment::start_duplicate(const std::string& name, const std::string& second) {
    commands_[second] = commands_.at(name);
    zones_[second] = zones_.at(name);
    restart(second);
}

void deployment::start_platform() {
    commands_["store"] = {program_path("citronseam-standin"), "store"};
    commands_["weights"] = {program_path("citronseam-standin"), "weights", "--rate",
                            std::to_string(plan_.origin_bytes_per_second)};
    commands_["instances"] = {program_path("citronseam-standin"), "instances", "--lag-ms",
                              std::to_string(plan_.instance_list_lag_ms)};
    for (const auto* name : {"store", "weights"}) {
        restart(name);
    }
    for (const auto& list : instance_list_names()) {
        commands_[list] = commands_["instances"];
        restart(list);
    }
}

std::string deployment::proxied_address(const std::string& proxy_name, const std::string& target) {
    auto& named_proxy = proxies_[proxy_name];
    if (named_proxy == nullptr) {
        named_proxy = std::make_unique<relay>();
    }
    named_proxy->set_target(target);
    return named_proxy->address();
}

std::string deployment::instance_list_name(const std::string& zone) const {
    return plan_.can_partition_regions ? "instances-" + zone : "instances";
}

std::vector<std::string> deployment::instance_list_names() const {
    if (!plan_.can_partition_regions) {
        return {"instances"};
    }
    // Each zone of the test configuration is a region of its own.
    return {instance_list_name("zone-a"), instance_list_name("zone-b")};
}

std::string deployment::platform_settings(const std::string& name) {
    std::string table = address("store", "http");
    std::string objects = table;
    std::string weights = address("weights", "http");
    if (plan_.has_proxies) {
        table = proxied_address("store:" + name, table);
    }
    if (plan_.can_partition_regions) {
        objects = proxied_address("objects:" + name, objects);
        weights = proxied_address("weights:" + name, weights);
    }
    return "platform:\n  table_service: http://" + table + "\n  object_store: http://" + objects +
           "\n  weight_store: http://" + weights + "\n  instance_list: http://" +
           address(instance_list_name(zones_.at(name)), "http") + "/instances\n" +
           plan_.control_yaml;
}

void deployment::set_region_partitioned(const std::string& zone, bool is_partitioned) {
    for (auto& [proxy_name, named_proxy] : proxies_) {
        const auto colon = proxy_name.find(':');
        const std::string kind = proxy_name.substr(0, colon);
        const bool is_in_region = zones_.at(proxy_name.substr(colon + 1)) == zone;
        const bool is_platform = kind == "store" || kind == "objects" || kind == "weights";
        const bool is_affected =
            kind == "far" || (is_platform && is_in_region) || (kind == "swarm" && !is_in_region);
        if (is_affected) {
            named_proxy->set_disconnected(is_partitioned);
        }
    }
}

void deployment::start_entry(std::size_t index) {
    const std::string name = entry_process_name(index);
    const std::string& zone = plan_.entry_zones[index];
    zones_[name] = zone;
    const std::string text = "role: entry\ninstance: " + name + "\navailability_zone: " + zone +
                             "\nlisten:\n  http: 127.0.0.1:0\n  peer: 127.0.0.1:0\n"
                             "  operator: 127.0.0.1:0\n" +
                             platform_settings(name);
    commands_[name] = {program_path("citronseamd"), "--settings", write_file(name + ".yaml", text)};
    restart(name);
    register_instance(name);
}

void deployment::start_backend_server(const backend_server_plan& plan) {
    const std::string name = plan.name + "-server";
    if (!plan.address.empty()) {
        addresses_[name]["http"] = plan.address;
        return;
    }
    std::vector<std::string> command{program_path("citronseam-standin"),
                                     plan.is_engine ? "engine" : "plain"};
    command.insert(command.end(), plan.arguments.begin(), plan.arguments.end());
    commands_[name] = command;
    restart(name);
}

void deployment::restart_backend_server(const std::string& name) {
    const std::string standin = name + "-server";
    std::vector<std::string>& command = commands_.at(standin);
    const std::string listen_address = address(standin, "http");
    if (std::find(command.begin(), command.end(), "--listen") == command.end()) {
        command.insert(command.end(), {"--listen", listen_address});
    }
    restart(standin);
}

void deployment::start_agent(const backend_server_plan& plan) {
    zones_[plan.name] = plan.availability_zone;
    std::string advertised_setting;
    if (plan_.has_proxies) {
        auto& swarm_proxy = proxies_["swarm:" + plan.name];
        swarm_proxy = std::make_unique<relay>();
        advertised_setting = "\n  peer_advertised: " + swarm_proxy->address();
    }
    const std::string text = "role: agent\ninstance: " + plan.name +
                             "\navailability_zone: " + plan.availability_zone +
                             "\nlisten:\n  peer: 127.0.0.1:0\n  operator: 127.0.0.1:0" +
                             advertised_setting + "\nweight_memory: " + plan_.weight_memory +
                             "\nbackend_server:\n  service: " + plan.service +
                             "\n  address: " + address(plan.name + "-server", "http") + "\n" +
                             platform_settings(plan.name);
    commands_[plan.name] = {program_path("citronseamd"), "--settings",
                            write_file(plan.name + ".yaml", text)};
    restart(plan.name);
    register_instance(plan.name);
}

void deployment::add_backend_server(const backend_server_plan& plan) {
    start_backend_server(plan);
    start_agent(plan);
}

void deployment::add_entry(const std::string& zone) {
    plan_.entry_zones.push_back(zone);
    start_entry(plan_.entry_zones.size() - 1);
}

std::string deployment::entry_peer_address(const std::string& entry, const std::string& list) {
    std::string peer = addresses_[entry]["peer"];
    if (!plan_.has_proxies) {
        return peer;
    }
    const bool is_other_region =
        plan_.can_partition_regions && list != instance_list_name(zones_.at(entry));
    return proxied_address((is_other_region ? "far:" : "peer:") + entry, peer);
}

void deployment::register_instance(const std::string& name, bool is_leaving) {
    const bool is_entry = name.rfind("entry-", 0) == 0;
    for (const auto& list : instance_list_names()) {
        const std::string peer =
            is_entry ? entry_peer_address(name, list) : addresses_[name]["peer"];
        const nlohmann::json row = {{"role", is_entry ? "entry" : "agent"},
                                    {"availability_zone", zones_.at(name)},
                                    {"peer_address", peer},
                                    {"http_address", addresses_[name]["http"]},
                                    {"leaving", is_leaving}};
        send_http_request("PUT", "http://" + address(list, "http") + "/instances/" + name,
                          row.dump());
    }
}

void deployment::deregister_instance(const std::string& name) {
    for (const auto& list : instance_list_names()) {
        send_http_request("DELETE", "http://" + address(list, "http") + "/instances/" + name);
    }
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
    const auto applied =
        run_tool({"config", "apply", write_file("configuration.yaml", configuration)});
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
        if (is_engine && release(service, small_model_bytes, 1).status != 0) {
            throw std::runtime_error("the release of " + service + " failed");
        }
    }
    if (!wait_until_ready()) {
        throw std::runtime_error("not all agents became ready: " + status().dump());
    }
}

bool deployment::wait_until_ready(milliseconds timeout) {
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
        timeout);
}

deployment::tool_result deployment::release(const std::string& service, std::size_t size,
                                            std::uint64_t seed) {
    const std::string path =
        write_file("weights-" + std::to_string(seed), random_weights(size, seed));
    return run_tool({"release", service, "--file", path, "--chunk-size", small_chunk_bytes});
}

child_process& deployment::process(const std::string& name) {
    return *processes_.at(name);
}

std::string deployment::address(const std::string& name, const std::string& purpose) const {
    return addresses_.at(name).at(purpose);
}

} // namespace citronseam::harness
