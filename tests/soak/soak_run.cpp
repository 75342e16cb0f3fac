#include "soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "citronseam/process/sizes.h"

namespace citronseam::soak {
namespace {

using harness::platform_server;
using harness::platform_world;

constexpr std::size_t min_caller_count = 16;
/// Of a large deployment, so that the machine is not busy with starts only.
constexpr std::size_t max_faulty_gateways = 8;
/// One request in so many is sent to another gateway.
constexpr std::uint64_t move_share = 32;
/// Pause between two heartbeats of an engine.
constexpr milliseconds heartbeat_interval{250};
constexpr int event_interval_ms = 15;
constexpr milliseconds tick{10};
constexpr milliseconds check_interval{1000};
/// Longer than the timeout of each route of plain servers, so that a run that was refused is seen.
constexpr milliseconds settle_time{2000};
/// Longer than the deadline that callers name.
constexpr milliseconds caller_timeout{5000};
constexpr const char* deadline_ms = "4000";
constexpr std::uint64_t max_pause_ms = 40;
constexpr std::uint64_t impatient_share = 16; ///< one request in so many
constexpr std::uint64_t max_impatient_ms = 300;
constexpr milliseconds reconnect_delay{50};
/// Target for the memory of a process.
constexpr std::size_t max_memory_kibibytes = 64 * kibibyte;
/// Well over the connections of all callers, members and servers together.
constexpr std::size_t max_open_files = 256;

std::string process_name(target_kind target, std::size_t index) {
    return std::string(find_name(target_names, target)) + "-" + std::to_string(index);
}

bool is_process(target_kind target) {
    return target == target_kind::gateway || target == target_kind::sidecar;
}

bool is_announced(target_kind target) {
    return target >= target_kind::configuration;
}

time_point now() {
    return std::chrono::steady_clock::now();
}

/// @return connections to the servers that run the request
std::vector<fault_target> servers_of(const soak_request& request) {
    const auto target = request.is_stream() ? target_kind::engine : target_kind::desk;
    std::vector<fault_target> servers;
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        servers.emplace_back(target, i);
    }
    return servers;
}

/// @return resident memory of a process, 0 once it has ended
std::size_t memory_kibibytes(int pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    const std::string key = "VmRSS:";
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(key, 0) == 0) {
            return std::stoul(line.substr(key.size()));
        }
    }
    return 0;
}

/// @return number of open files of a process, 0 once it has ended
std::size_t open_file_count(int pid) {
    std::error_code error;
    std::size_t count = 0;
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(pid) + "/fd", error);
    while (!error && entry != std::filesystem::directory_iterator()) {
        ++count;
        entry.increment(error);
    }
    return count;
}

std::string make_request_bytes(const soak_request& request) {
    const bool is_guest = request.kind == request_kind::guest;
    const bool is_look = request.kind == request_kind::look || is_guest;
    std::string bytes = (is_look ? "GET " : "POST ") + request.path() +
                        " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " +
                        (is_guest ? planned_work::guest_key : platform_world::api_key) +
                        "\r\nX-Citronseam-Attempt-Id: " + request.id +
                        "\r\nX-Citronseam-Deadline-Ms: " + deadline_ms + "\r\n";
    if (request.is_stream()) {
        bytes += "X-Citronseam-Token-Usage: 110,20\r\n";
    }
    if (is_look) {
        return bytes + "\r\n";
    }
    return bytes + "Content-Length: " + std::to_string(request.id.size()) + "\r\n\r\n" + request.id;
}

void print_lines_with(const std::string& name, const std::string& output, const std::string& text) {
    std::istringstream lines(output);
    for (std::string line; std::getline(lines, line);) {
        if (line.find(text) != std::string::npos) {
            std::cout << "  " << name << ": " << line << "\n";
        }
    }
}

} // namespace

soak_run::soak_run(const soak_options& options)
    : options_(options), log_(options.seed), world_(options.gateways_per_zone),
      planned_work_(world_, timeline_, desk_proxies_) {
    const std::string store_address = add_store_address();
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        world_.engines[i]->is_target_in_events = true;
        world_.engines[i]->event_interval_ms = event_interval_ms;
        engine_proxies_.push_back(std::make_unique<fault_proxy>(world_.engines[i]->address()));
        world_.set_server_address(*world_.engines[i], engine_proxies_[i]->address());
        desk_proxies_.push_back(std::make_unique<fault_proxy>(world_.plain_servers[i]->address()));
        world_.set_server_address(*world_.plain_servers[i], desk_proxies_[i]->address());
        world_.engines[i]->set_unchecked_loads();
        watch_arrivals(*world_.engines[i], {target_kind::engine, i});
        watch_arrivals(*world_.plain_servers[i], {target_kind::desk, i});
        sidecar_store_proxies_.push_back(std::make_unique<fault_proxy>(store_address));
        world_.set_sidecar_store(i, sidecar_store_proxies_[i]->address());
    }
    origin_proxies_.push_back(std::make_unique<fault_proxy>(world_.origin.address()));
    planned_work_.announce_first_configuration(origin_proxies_[0]->address());
    for (std::size_t i = 0; i < world_.gateway_count(); ++i) {
        store_proxies_.push_back(std::make_unique<fault_proxy>(store_address));
        world_.set_gateway_store(i, store_proxies_[i]->address());
    }
}

soak_run::~soak_run() {
    stop_callers();
}

void soak_run::watch_arrivals(platform_server& server, fault_target link) {
    const std::string id = server.id();
    server.set_arrival_handler([this, id, link](const std::string& request) {
        if (const auto broken = timeline_.check_arrival(id, link, request, now())) {
            log_.report(*broken);
        }
    });
}

/// @return an address of the store whose rows name a proxy instead of each gateway's peer address
std::string soak_run::add_store_address() {
    std::map<std::string, std::string> proxied;
    for (std::size_t i = 0; i < world_.gateway_count(); ++i) {
        peer_proxies_.push_back(std::make_unique<fault_proxy>(world_.peer_address(i)));
        proxied[world_.peer_address(i)] = peer_proxies_.back()->address();
    }
    return world_.store.add_address(
        [proxied](const std::string&, const std::string&, const std::string& value) {
            std::string text = value;
            for (const auto& [address, proxy] : proxied) {
                const auto at = text.find(address);
                if (at != std::string::npos) {
                    text.replace(at, address.size(), proxy);
                }
            }
            return text;
        });
}

std::size_t soak_run::faulty_gateway_count() const {
    return std::min(world_.gateway_count(), max_faulty_gateways);
}

bool soak_run::run() {
    if (!world_.start()) {
        std::cout << "the gateways did not become ready\n" << world_.gateway(0).output();
        return false;
    }
    const std::size_t caller_count = std::max(min_caller_count, world_.gateway_count());
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers_.emplace_back([this, i] { call_until_stopped(i); });
    }
    play();
    stop_callers();
    std::this_thread::sleep_for(settle_time);
    check_processes();
    check_runs();
    check_loads();
    print_traces();
    std::cout << log_.summary() << timeline_.summary();
    bool has_successes = true;
    for (const auto& row : request_names) {
        const bool is_probe = soak_request{row.value, {}}.is_probe();
        if (!is_probe && log_.success_count(row.value) == 0) {
            std::cout << "no success of " << row.text << ": the run shows nothing of it\n";
            has_successes = false;
        }
    }
    return has_successes && log_.breaches().empty();
}

void soak_run::play() {
    const auto plan = make_plan(options_.seed, options_.duration,
                                {faulty_gateway_count(), platform_world::zone_count,
                                 platform_world::zone_count, faulty_gateway_count()});
    for (const auto& fault : plan) {
        std::cout << describe(fault) << "\n";
    }
    std::cout << std::flush;
    std::vector<planned_fault> active;
    auto next = plan.begin();
    const auto started_at = std::chrono::steady_clock::now();
    milliseconds next_check = check_interval;
    milliseconds next_heartbeat = heartbeat_interval;
    while (true) {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now() - started_at);
        const auto ended =
            std::stable_partition(active.begin(), active.end(),
                                  [elapsed](const auto& fault) { return fault.end > elapsed; });
        std::for_each(ended, active.end(), [this](const auto& fault) { end(fault); });
        active.erase(ended, active.end());
        for (; next != plan.end() && next->begin <= elapsed; ++next) {
            begin(*next);
            active.push_back(*next);
        }
        if (elapsed >= next_heartbeat) {
            next_heartbeat += heartbeat_interval;
            planned_work_.update_engine_rows();
        }
        if (elapsed >= next_check) {
            next_check += check_interval;
            check_processes();
            check_runs();
            check_loads();
        }
        if (elapsed >= options_.duration && active.empty()) {
            return;
        }
        std::this_thread::sleep_for(tick);
    }
}

fault_proxy& soak_run::proxy_of(const planned_fault& fault) {
    auto& proxies = fault.target == target_kind::engine          ? engine_proxies_
                    : fault.target == target_kind::desk          ? desk_proxies_
                    : fault.target == target_kind::store         ? store_proxies_
                    : fault.target == target_kind::peer          ? peer_proxies_
                    : fault.target == target_kind::sidecar_store ? sidecar_store_proxies_
                                                                 : origin_proxies_;
    return *proxies.at(fault.index);
}

harness::child_process& soak_run::process_of(target_kind target, std::size_t index) {
    return target == target_kind::gateway ? world_.gateway(index) : world_.sidecar(index);
}

void soak_run::begin(const planned_fault& fault) {
    if (is_announced(fault.target)) {
        planned_work_.begin(fault);
        return;
    }
    if (fault.kind == fault_kind::reload) {
        auto& process = process_of(fault.target, fault.index);
        // A program that has not begun to run is ended by the signal.
        if (!process.output().empty()) {
            process.send_signal(SIGHUP);
        }
        return;
    }
    timeline_.begin_fault({fault.target, fault.index}, is_planned(fault.kind), now());
    if (!is_process(fault.target)) {
        proxy_of(fault).set_fault(fault.kind, fault.parameter);
        return;
    }
    auto& process = process_of(fault.target, fault.index);
    if (fault.kind != fault_kind::pause) {
        is_ending_[process_name(fault.target, fault.index)] = true;
    }
    process.send_signal(fault.kind == fault_kind::pause       ? SIGSTOP
                        : fault.kind == fault_kind::terminate ? SIGTERM
                                                              : SIGKILL);
}

void soak_run::end(const planned_fault& fault) {
    if (is_announced(fault.target)) {
        planned_work_.end(fault);
        return;
    }
    if (fault.kind == fault_kind::reload) {
        return;
    }
    if (!is_process(fault.target)) {
        proxy_of(fault).set_fault(fault_kind::none);
    } else if (fault.kind == fault_kind::pause) {
        process_of(fault.target, fault.index).send_signal(SIGCONT);
    } else {
        replace(fault.target, fault.index);
    }
    timeline_.end_fault({fault.target, fault.index}, now());
}

void soak_run::replace(target_kind target, std::size_t index) {
    if (process_of(target, index).is_running()) {
        // It is killed before its grace period ends.
        timeline_.begin_fault({target, index}, false, now());
    }
    keep_logs(target, index);
    if (target == target_kind::gateway) {
        world_.replace_gateway(index);
    } else {
        world_.restart_sidecar(index);
    }
    is_ending_[process_name(target, index)] = false;
}

void soak_run::keep_logs(target_kind target, std::size_t index) {
    const auto& process = process_of(target, index);
    ended_logs_[process_name(target, index)] += process.output() + process.errors();
}

void soak_run::check_processes() {
    for (std::size_t i = 0; i < world_.gateway_count(); ++i) {
        check_process(target_kind::gateway, i);
    }
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        check_process(target_kind::sidecar, i);
    }
}

void soak_run::check_process(target_kind target, std::size_t index) {
    const std::string name = process_name(target, index);
    auto& process = process_of(target, index);
    if (!process.is_running()) {
        if (!is_ending_[name]) {
            log_.report({promise::ended, name,
                         "exit code " + std::to_string(process.wait_for_exit(tick)) + " " +
                             process.errors()});
            timeline_.begin_fault({target, index}, false, now());
            replace(target, index);
            timeline_.end_fault({target, index}, now());
        }
        return;
    }
    const std::size_t memory = memory_kibibytes(process.pid());
    const std::size_t files = open_file_count(process.pid());
    if (memory > max_memory_kibibytes && !log_.is_reported(promise::memory, name)) {
        log_.report({promise::memory, name, std::to_string(memory) + " KiB"});
    }
    if (files > max_open_files && !log_.is_reported(promise::files, name)) {
        log_.report({promise::files, name, std::to_string(files) + " open files"});
    }
}

std::map<std::string, int> soak_run::count_runs() const {
    std::map<std::string, int> runs;
    for (const auto* servers : {&world_.engines, &world_.plain_servers}) {
        for (const auto& server : *servers) {
            for (const auto& [id, count] : server->runs_per_attempt()) {
                runs[id] += count;
            }
        }
    }
    return runs;
}

void soak_run::check_runs() {
    const auto refused = log_.refused();
    for (const auto& broken : soak::check_runs(count_runs(), refused)) {
        if (!log_.is_reported(broken.broken, broken.request)) {
            log_.report(broken);
        }
    }
}

void soak_run::check_loads() {
    for (const auto& engine : world_.engines) {
        const int count = engine->wrong_load_count();
        if (count > 0 && !log_.is_reported(promise::whole, engine->id())) {
            log_.report({promise::whole, engine->id(),
                         std::to_string(count) + " loads of pieces that are not one version"});
        }
    }
}

void soak_run::check_exchange(const timed_exchange& exchange) {
    log_.record(exchange.request, exchange.answer);
    if (const auto broken = timeline_.check_exchange(exchange, servers_of(exchange.request))) {
        log_.report(*broken);
    }
}

void soak_run::call_until_stopped(std::size_t caller) {
    constexpr std::uint64_t seeds_per_run = 1024;
    seeded_numbers numbers(options_.seed * seeds_per_run + caller + 1);
    std::vector<std::unique_ptr<caller_connection>> connections;
    for (std::size_t i = 0; i < world_.gateway_count(); ++i) {
        connections.push_back(std::make_unique<caller_connection>(world_.http_port(i)));
    }
    std::size_t gateway = caller % connections.size();
    for (int count = 0; !is_stopping_; ++count) {
        timed_exchange exchange;
        soak_request& request = exchange.request;
        request.kind = request_names.at(numbers.between(0, request_names.size() - 1)).value;
        request.id = make_id(request.kind, caller, count);
        if (numbers.between(1, move_share) == 1) {
            gateway = numbers.between(0, connections.size() - 1);
        }
        const bool is_impatient = numbers.between(1, impatient_share) == 1;
        const milliseconds impatience(numbers.between(1, max_impatient_ms));
        exchange.gateway = gateway;
        timeline_.send(request.id, gateway);
        exchange.sent_at = now();
        exchange.answer = connections[gateway]->exchange(
            make_request_bytes(request), is_impatient ? impatience : caller_timeout);
        exchange.ended_at = now();
        check_exchange(exchange);
        const auto& answer = exchange.answer;
        if (answer.end == answer_end::unconnected) {
            gateway = (gateway + 1) % connections.size();
        }
        std::this_thread::sleep_for(answer.end == answer_end::unconnected
                                        ? reconnect_delay
                                        : milliseconds(numbers.between(0, max_pause_ms)));
    }
}

void soak_run::stop_callers() {
    is_stopping_ = true;
    for (auto& caller : callers_) {
        caller.join();
    }
    callers_.clear();
}

/// @return the logs of all processes, by name
std::map<std::string, std::string> soak_run::logs() {
    std::map<std::string, std::string> all = ended_logs_;
    const auto add = [&](target_kind target, std::size_t index) {
        const auto& process = process_of(target, index);
        all[process_name(target, index)] += process.output() + process.errors();
    };
    for (std::size_t i = 0; i < world_.gateway_count(); ++i) {
        add(target_kind::gateway, i);
    }
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        add(target_kind::sidecar, i);
    }
    return all;
}

void soak_run::write_logs() {
    std::filesystem::create_directories(options_.log_directory);
    for (const auto& [name, output] : logs()) {
        std::ofstream(options_.log_directory + "/" + std::to_string(options_.seed) + "-" + name)
            << output;
    }
}

void soak_run::print_traces() {
    const auto breaches = log_.breaches();
    if (!options_.log_directory.empty()) {
        write_logs();
    }
    for (const auto& broken : breaches) {
        std::cout << "log lines of " << broken.request << ":\n";
        for (const auto* servers : {&world_.engines, &world_.plain_servers}) {
            for (const auto& server : *servers) {
                const auto runs = server->runs_per_attempt();
                const auto found = runs.find(broken.request);
                if (found != runs.end()) {
                    std::cout << "  " << server->id() << ": " << found->second << " runs\n";
                }
            }
        }
        const bool is_load = broken.broken == promise::whole;
        for (const auto& [name, output] : logs()) {
            print_lines_with(name, output, is_load ? "event=weights" : "=" + broken.request + " ");
        }
    }
}

} // namespace citronseam::soak
