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

constexpr std::size_t gateways_per_zone = 2;
constexpr std::size_t caller_count = 16;
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
    const bool is_look = request.kind == request_kind::look;
    std::string bytes = (is_look ? "GET " : "POST ") + request.path() +
                        " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " +
                        platform_world::api_key + "\r\nX-Citronseam-Attempt-Id: " + request.id +
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

soak_run::soak_run(std::uint64_t seed, milliseconds duration)
    : seed_(seed), duration_(duration), log_(seed), world_(gateways_per_zone) {
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        world_.engines[i]->is_target_in_events = true;
        world_.engines[i]->event_interval_ms = event_interval_ms;
        engine_proxies_.push_back(std::make_unique<fault_proxy>(world_.engines[i]->address()));
        world_.set_server_address(*world_.engines[i], engine_proxies_[i]->address());
        desk_proxies_.push_back(std::make_unique<fault_proxy>(world_.plain_servers[i]->address()));
        world_.set_server_address(*world_.plain_servers[i], desk_proxies_[i]->address());
    }
    for (std::size_t i = 0; i < world_.gateway_count(); ++i) {
        store_proxies_.push_back(std::make_unique<fault_proxy>(world_.store.address()));
        world_.set_gateway_store(i, store_proxies_[i]->address());
    }
}

soak_run::~soak_run() {
    stop_callers();
}

bool soak_run::run() {
    if (!world_.start()) {
        std::cout << "the gateways did not become ready\n" << world_.gateway(0).output();
        return false;
    }
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers_.emplace_back([this, i] { call_until_stopped(i); });
    }
    play();
    stop_callers();
    std::this_thread::sleep_for(settle_time);
    check_processes();
    check_runs();
    print_traces();
    std::cout << log_.summary();
    bool has_successes = true;
    for (const auto& row : request_names) {
        if (log_.success_count(row.value) == 0) {
            std::cout << "no success of " << row.text << ": the run shows nothing of it\n";
            has_successes = false;
        }
    }
    return has_successes && log_.breaches().empty();
}

void soak_run::play() {
    const auto plan = make_plan(seed_, duration_,
                                {world_.gateway_count(), platform_world::zone_count,
                                 platform_world::zone_count, store_proxies_.size()});
    for (const auto& fault : plan) {
        std::cout << describe(fault) << "\n";
    }
    std::cout << std::flush;
    std::vector<planned_fault> active;
    auto next = plan.begin();
    const auto started_at = std::chrono::steady_clock::now();
    milliseconds next_check = check_interval;
    while (true) {
        const auto now =
            std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started_at);
        const auto ended = std::stable_partition(
            active.begin(), active.end(), [now](const auto& fault) { return fault.end > now; });
        std::for_each(ended, active.end(), [this](const auto& fault) { end(fault); });
        active.erase(ended, active.end());
        for (; next != plan.end() && next->begin <= now; ++next) {
            begin(*next);
            active.push_back(*next);
        }
        if (now >= next_check) {
            next_check += check_interval;
            check_processes();
            check_runs();
        }
        if (now >= duration_ && active.empty()) {
            return;
        }
        std::this_thread::sleep_for(tick);
    }
}

fault_proxy& soak_run::proxy_of(const planned_fault& fault) {
    auto& proxies = fault.target == target_kind::engine ? engine_proxies_
                    : fault.target == target_kind::desk ? desk_proxies_
                                                        : store_proxies_;
    return *proxies.at(fault.index);
}

harness::child_process& soak_run::process_of(target_kind target, std::size_t index) {
    return target == target_kind::gateway ? world_.gateway(index) : world_.sidecar(index);
}

void soak_run::begin(const planned_fault& fault) {
    if (!is_process(fault.target)) {
        proxy_of(fault).set_fault(fault.kind, fault.parameter);
        return;
    }
    auto& process = process_of(fault.target, fault.index);
    is_ending_[process_name(fault.target, fault.index)] = fault.kind != fault_kind::pause;
    process.send_signal(fault.kind == fault_kind::pause       ? SIGSTOP
                        : fault.kind == fault_kind::terminate ? SIGTERM
                                                              : SIGKILL);
}

void soak_run::end(const planned_fault& fault) {
    if (!is_process(fault.target)) {
        proxy_of(fault).set_fault(fault_kind::none);
    } else if (fault.kind == fault_kind::pause) {
        process_of(fault.target, fault.index).send_signal(SIGCONT);
    } else {
        replace(fault.target, fault.index);
    }
}

void soak_run::replace(target_kind target, std::size_t index) {
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
            replace(target, index);
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

void soak_run::call_until_stopped(std::size_t caller) {
    seeded_numbers numbers(seed_ * caller_count + caller + 1);
    std::vector<std::unique_ptr<caller_connection>> connections;
    for (std::size_t i = 0; i < world_.gateway_count(); ++i) {
        connections.push_back(std::make_unique<caller_connection>(world_.http_port(i)));
    }
    std::size_t gateway = caller % connections.size();
    for (int count = 0; !is_stopping_; ++count) {
        soak_request request;
        request.kind = request_names.at(numbers.between(0, request_names.size() - 1)).value;
        request.id = make_id(request.kind, caller, count);
        const bool is_impatient = numbers.between(1, impatient_share) == 1;
        const milliseconds impatience(numbers.between(1, max_impatient_ms));
        const auto answer = connections[gateway]->exchange(
            make_request_bytes(request), is_impatient ? impatience : caller_timeout);
        log_.record(request, answer);
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

void soak_run::print_traces() {
    const auto breaches = log_.breaches();
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
        const std::string text = "=" + broken.request + " ";
        for (const auto& [name, output] : ended_logs_) {
            print_lines_with(name, output, text);
        }
        for (std::size_t i = 0; i < world_.gateway_count(); ++i) {
            print_lines_with(process_name(target_kind::gateway, i), world_.gateway(i).output(),
                             text);
        }
        for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
            print_lines_with(process_name(target_kind::sidecar, i), world_.sidecar(i).output(),
                             text);
        }
    }
}

} // namespace citronseam::soak
