#include <iostream>
#include <sstream>
#include <thread>

#include "measurements.h"
#include "process_usage.h"
#include "support/requests.h"

namespace citronseam::measurement {
namespace {

using namespace citronseam::harness;

constexpr seconds observation_time{10};

double read_counter(deployment& system, const std::string& process, const std::string& name) {
    const auto text =
        system
            .send_http_request("GET", "http://" + system.address(process, "operator") + "/metrics")
            .body;
    double sum = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(name, 0) == 0 && line.find(' ') != std::string::npos) {
            sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

struct sample {
    process_usage used;
    double sent{0};
    double received{0};
};

sample take_sample(deployment& system, const std::string& process) {
    sample taken;
    taken.used = read_usage(system.process(process).pid());
    taken.sent = read_counter(system, process, "citronseam_wire_bytes_total{direction=\"sent\"}");
    taken.received =
        read_counter(system, process, "citronseam_wire_bytes_total{direction=\"received\"}");
    return taken;
}

void print_row(int entries, int agents, const std::string& role, const sample& before,
               const sample& after) {
    const double elapsed_s = observation_time.count();
    std::cout << "| " << entries << " | " << agents << " | " << role << " | "
              << 100 * (after.used.cpu_seconds - before.used.cpu_seconds) / elapsed_s << " | "
              << after.used.memory_mib << " | " << (after.sent - before.sent) / elapsed_s << " | "
              << (after.received - before.received) / elapsed_s << " |" << std::endl;
}

void measure_idle(int entries, int agents) {
    deployment_plan plan = small_deployment_plan();
    plan.entry_zones.clear();
    for (int i = 0; i < entries; ++i) {
        plan.entry_zones.push_back(i % 2 == 0 ? "zone-a" : "zone-b");
    }
    plan.backend_servers.clear();
    for (int i = 0; i < agents; ++i) {
        plan.backend_servers.push_back(
            {"agent-" + std::to_string(i), "desk", i % 2 == 0 ? "zone-a" : "zone-b", false, {}});
    }
    plan.control_yaml = "control:\n  heartbeat_interval: 500ms\n  silence_timeout: 2s\n";
    deployment system(plan);
    system.start();
    const sample entry = take_sample(system, "entry-0");
    const sample agent = take_sample(system, "agent-0");
    std::this_thread::sleep_for(observation_time);
    print_row(entries, agents, "entry", entry, take_sample(system, "entry-0"));
    print_row(entries, agents, "agent", agent, take_sample(system, "agent-0"));
}

} // namespace

void measure_capacity() {
    std::cout
        << "\n### Control without load, heartbeats every 500 ms\n\n| entries | agents | role | "
           "processor, % of a core | memory MiB | sent B/s | received B/s |\n"
           "|---|---|---|---|---|---|---|\n";
    measure_idle(2, 4);
    measure_idle(2, 16);
    measure_idle(2, 48);
    measure_idle(8, 16);
    measure_idle(12, 16);
}

} // namespace citronseam::measurement
