// Resource usage of gateways and sidecars on a stand-in for the users' platform.
#include <iostream>
#include <thread>

#include "measurements.h"
#include "process_usage.h"
#include "support/platform_world.h"

namespace citronseam::measurement {
namespace {

using namespace citronseam::harness;

constexpr seconds observation_time{10};
constexpr seconds settling_time{3};
constexpr int client_count = 8;

void print_row(const std::string& load, const std::string& role, const process_usage& before,
               const process_usage& after) {
    const double elapsed_s = observation_time.count();
    std::cout << "| " << load << " | " << role << " | "
              << 100 * (after.cpu_seconds - before.cpu_seconds) / elapsed_s << " | "
              << (after.voluntary_context_switches - before.voluntary_context_switches) / elapsed_s
              << " | " << after.memory_mib << " |" << std::endl;
}

/// Measures one gateway and one sidecar.
void observe(platform_world& platform, const std::string& load) {
    const int gateway = platform.gateway(0).pid();
    const int sidecar = platform.sidecar(0).pid();
    const process_usage gateway_before = read_usage(gateway);
    const process_usage sidecar_before = read_usage(sidecar);
    const int calls_before = platform.store.call_count;
    std::this_thread::sleep_for(observation_time);
    print_row(load, "gateway", gateway_before, read_usage(gateway));
    print_row(load, "sidecar", sidecar_before, read_usage(sidecar));
    std::cout << "| " << load << " | store calls a second of all four: "
              << (platform.store.call_count - calls_before) /
                     static_cast<double>(observation_time.count())
              << " | | | |" << std::endl;
}

} // namespace

void measure_platform() {
    std::cout
        << "\n### Two gateways and two sidecars on the platform's stand-in\n\n| load | role | "
           "processor, % of a core | wake-ups a second | memory MiB |\n|---|---|---|---|---|\n";
    platform_world platform;
    if (!platform.start()) {
        std::cerr << "the gateways did not become ready\n";
        return;
    }
    std::this_thread::sleep_for(settling_time);
    observe(platform, "idle");
    std::atomic<bool> is_stopping{false};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    threads.reserve(client_count);
    for (int i = 0; i < client_count; ++i) {
        threads.emplace_back([&] {
            const http_header authorization{"Authorization",
                                            std::string("Token ") + platform_world::api_key};
            while (!is_stopping) {
                answered +=
                    platform.call(0, "POST", "/draft/1", {authorization}).outcome.status == 200 ? 1
                                                                                                : 0;
            }
        });
    }
    observe(platform, "streams of 8 events at one gateway");
    is_stopping = true;
    for (auto& thread : threads) {
        thread.join();
    }
    std::cout << "\n" << answered << " streams answered meanwhile\n";
}

} // namespace citronseam::measurement
