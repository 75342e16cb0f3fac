// An accepted configuration change reaches sixty processes in time, even when the store becomes
// unreachable right after the change.
#include <iostream>

#include <gtest/gtest.h>

#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr int entry_count = 9;
constexpr int agent_count = 51;
/// Time within which an accepted change must be in force on every process.
constexpr milliseconds propagation_bound{5000};

deployment_plan sixty_process_plan() {
    deployment_plan plan = small_deployment_plan();
    plan.entry_zones.clear();
    for (int i = 0; i < entry_count; ++i) {
        plan.entry_zones.emplace_back(i % 2 == 0 ? "zone-a" : "zone-b");
    }
    plan.backend_servers.clear();
    for (int i = 0; i < agent_count; ++i) {
        plan.backend_servers.push_back(
            {"agent-" + std::to_string(i), "desk", i % 2 == 0 ? "zone-a" : "zone-b", false, {}});
    }
    return plan;
}

std::vector<std::string> process_names() {
    std::vector<std::string> names;
    names.reserve(entry_count + agent_count);
    for (int i = 0; i < entry_count; ++i) {
        names.push_back("entry-" + std::to_string(i));
    }
    for (int i = 0; i < agent_count; ++i) {
        names.push_back("agent-" + std::to_string(i));
    }
    return names;
}

/// Waits until each process has at least the given generation in force.
/// @return the processes that did not within the timeout
std::vector<std::string> find_lagging_processes(deployment& system, std::uint64_t generation,
                                                milliseconds timeout) {
    std::vector<std::string> lagging;
    const auto end = std::chrono::steady_clock::now() + timeout;
    for (const auto& name : process_names()) {
        const milliseconds remaining(elapsed_ms(std::chrono::steady_clock::now(), end));
        const bool is_in_force = wait_until(
            [&] { return process_status(system, name).value("generation", 0U) >= generation; },
            remaining);
        if (!is_in_force) {
            lagging.push_back(name);
        }
    }
    return lagging;
}

std::string desk_configuration(int max_concurrency) {
    return test_configuration(
        {{"max_concurrency: 16", "max_concurrency: " + std::to_string(max_concurrency)}});
}

TEST(process_spread, a_change_reaches_sixty_processes_within_the_bound) {
    deployment system(sixty_process_plan());
    system.start();
    const std::uint64_t first = system.status()["generation"];
    auto applied_at = std::chrono::steady_clock::now();
    system.apply(desk_configuration(17));
    EXPECT_EQ(find_lagging_processes(system, first + 1, propagation_bound),
              std::vector<std::string>{});
    std::cout << "in force everywhere after "
              << elapsed_ms(applied_at, std::chrono::steady_clock::now())
              << " ms, the tool's run included\n";
    applied_at = std::chrono::steady_clock::now();
    system.apply(desk_configuration(18));
    system.set_faults("store", {{"down", true}});
    EXPECT_EQ(find_lagging_processes(system, first + 2, propagation_bound),
              std::vector<std::string>{});
    std::cout << "with the store cut off: "
              << elapsed_ms(applied_at, std::chrono::steady_clock::now()) << " ms\n";
}

} // namespace
