// Cost of gateways and sidecars on the stand-in of the users' platform.
#include <iostream>
#include <thread>

#include "measurements.h"
#include "process_usage.h"
#include "support/platform_world.h"

namespace citronseam::measurement {
namespace {

using namespace citronseam::harness;

constexpr seconds observed{10};
constexpr seconds settling{3};
constexpr int callers = 8;

void print_row(const std::string& load, const std::string& role, const usage& before,
               const usage& after) {
    const double time = observed.count();
    std::cout << "| " << load << " | " << role << " | "
              << 100 * (after.processor_s - before.processor_s) / time << " | "
              << (after.wake_ups - before.wake_ups) / time << " | " << after.memory_mib << " |"
              << std::endl;
}

/// Watches one gateway and one sidecar.
void observe(platform_world& world, const std::string& load) {
    const int gateway = world.gateway(0).pid();
    const int sidecar = world.sidecar(0).pid();
    const usage gateway_before = read_usage(gateway);
    const usage sidecar_before = read_usage(sidecar);
    const int calls_before = world.store.call_count;
    std::this_thread::sleep_for(observed);
    print_row(load, "gateway", gateway_before, read_usage(gateway));
    print_row(load, "sidecar", sidecar_before, read_usage(sidecar));
    std::cout << "| " << load << " | store calls a second of all four: "
              << (world.store.call_count - calls_before) / static_cast<double>(observed.count())
              << " | | | |" << std::endl;
}

} // namespace

void measure_platform() {
    std::cout
        << "\n### Two gateways and two sidecars on the platform's stand-in\n\n| load | role | "
           "processor, % of a core | wake-ups a second | memory MiB |\n|---|---|---|---|---|\n";
    platform_world world;
    if (!world.start()) {
        std::cerr << "the gateways did not become ready\n";
        return;
    }
    std::this_thread::sleep_for(settling);
    observe(world, "idle");
    std::atomic<bool> is_over{false};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            const http_header key{"Authorization", std::string("Token ") + platform_world::key};
            while (!is_over) {
                answered += world.call(0, "POST", "/draft/1", {key}).outcome.status == 200 ? 1 : 0;
            }
        });
    }
    observe(world, "streams of 8 events at one gateway");
    is_over = true;
    for (auto& thread : threads) {
        thread.join();
    }
    std::cout << "\n" << answered << " streams answered meanwhile\n";
}

} // namespace citronseam::measurement
