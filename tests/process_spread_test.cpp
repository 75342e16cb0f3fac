// An accepted change reaches sixty processes in time, also when the store is cut off right after.
#include <iostream>

#include <gtest/gtest.h>

#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr int entries = 9;
constexpr int agents = 51;
/// An accepted change is in force everywhere within this time.
constexpr milliseconds change_bound{5000};

deployment_plan wide_plan() {
    deployment_plan plan = small_plan();
    plan.entry_zones.clear();
    for (int i = 0; i < entries; ++i) {
        plan.entry_zones.emplace_back(i % 2 == 0 ? "zone-a" : "zone-b");
    }
    plan.backend_servers.clear();
    for (int i = 0; i < agents; ++i) {
        plan.backend_servers.push_back(
            {"agent-" + std::to_string(i), "desk", i % 2 == 0 ? "zone-a" : "zone-b", false, {}});
    }
    return plan;
}

std::vector<std::string> process_names() {
    std::vector<std::string> names;
    names.reserve(entries + agents);
    for (int i = 0; i < entries; ++i) {
        names.push_back("entry-" + std::to_string(i));
    }
    for (int i = 0; i < agents; ++i) {
        names.push_back("agent-" + std::to_string(i));
    }
    return names;
}

/// Waits until each process has a generation in force, in turn.
/// @return processes that had not when the bound was over
std::vector<std::string> lagging_after(deployment& system, std::uint64_t generation,
                                       milliseconds time) {
    std::vector<std::string> lagging;
    const auto end = std::chrono::steady_clock::now() + time;
    for (const auto& name : process_names()) {
        const milliseconds left(elapsed_ms(std::chrono::steady_clock::now(), end));
        const bool has_it = wait_until(
            [&] { return own_status(system, name).value("generation", 0U) >= generation; }, left);
        if (!has_it) {
            lagging.push_back(name);
        }
    }
    return lagging;
}

std::string desk_with(int most) {
    return test_configuration(
        {{"max_concurrency: 16", "max_concurrency: " + std::to_string(most)}});
}

TEST(process_spread, a_change_is_in_force_on_sixty_processes_within_the_bound) {
    deployment system(wide_plan());
    system.start();
    const std::uint64_t first = system.status()["generation"];
    auto accepted = std::chrono::steady_clock::now();
    system.apply(desk_with(17));
    EXPECT_EQ(lagging_after(system, first + 1, change_bound), std::vector<std::string>{});
    std::cout << "in force everywhere after "
              << elapsed_ms(accepted, std::chrono::steady_clock::now())
              << " ms, the tool's run included\n";
    accepted = std::chrono::steady_clock::now();
    system.apply(desk_with(18));
    system.set_faults("store", {{"down", true}});
    EXPECT_EQ(lagging_after(system, first + 2, change_bound), std::vector<std::string>{});
    std::cout << "with the store cut off: "
              << elapsed_ms(accepted, std::chrono::steady_clock::now()) << " ms\n";
}

} // namespace
