// A region that is temporarily partitioned from the platform and from all other regions.
#include <gtest/gtest.h>

#include "support/requests.h"
#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

/// Time after which a zone taken out of service must get no new work.
constexpr milliseconds removal_bound{3000};
constexpr milliseconds convergence_timeout{30000};
constexpr std::uint64_t next_seed = 2;

deployment_plan region_plan(deployment_plan plan) {
    plan.has_proxies = true;
    plan.can_partition_regions = true;
    return plan;
}

TEST(process_region, a_partitioned_zone_taken_out_of_service_gets_no_new_work_until_restored) {
    deployment system(region_plan(rollout_plan(2)));
    system.start();
    system.limit_tool_to_entry(0);
    const std::vector<std::string> load_arguments{
        "--service", "pool",
        "--rate",    "40",
        "--seconds", "8",
        "--tokens",  "4",
        "--target",  "http://" + system.address("entry-1", "http")};
    const auto load = system.start_load(load_arguments);
    system.set_region_partitioned("zone-b", true);
    const std::uint64_t cut_at_ms = wall_clock_ms();
    ASSERT_EQ(system.run_tool({"zone", "out", "zone-b"}).status, 0);
    const std::uint64_t no_work_after_ms = wall_clock_ms() + removal_bound.count();
    const auto result = deployment::wait_for_load_result(*load);
    EXPECT_GT(count_runs_after(system, "agent-1-server", cut_at_ms), 0)
        << "the zone serves until the notice reaches it";
    EXPECT_EQ(count_runs_after(system, "agent-1-server", no_work_after_ms), 0) << result.dump();
    EXPECT_EQ(result["short_answers"], 0) << result.dump();
    EXPECT_GT(result["refused"], 0)
        << "callers in the partitioned region must be refused, not left waiting: " << result.dump();
    system.set_region_partitioned("zone-b", false);
    ASSERT_EQ(system.run_tool({"zone", "in", "zone-b"}).status, 0);
    EXPECT_TRUE(wait_until(
        [&] {
            const auto answer =
                system.call(1, "POST", "/v1/completions", completion_body("again", 2, false));
            return find_header(answer.headers, "X-Served-By") == "agent-1";
        },
        convergence_timeout));
}

TEST(process_region, a_transfer_resumes_after_a_region_partition) {
    constexpr int agent_count = 4;
    auto plan = rollout_plan(agent_count, {{"link_rate: 20Mbit/s", "link_rate: 4Mbit/s"}});
    for (int i = 1; i < agent_count; ++i) {
        plan.backend_servers[static_cast<std::size_t>(i)].availability_zone = "zone-b";
    }
    deployment system(region_plan(plan));
    system.start();
    system.limit_tool_to_entry(0);
    const std::uint64_t origin_bytes_before = bytes_served_by_origin(system);
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    const std::string version = target_version(system);
    const auto chunks_held_by = [&](const std::string& agent) {
        return process_status(system, agent).value("chunks_held", 0);
    };
    const auto has_partial_download = [&] {
        return process_status(system, "agent-1").value("wanted", "") == version &&
               chunks_held_by("agent-1") > 2;
    };
    ASSERT_TRUE(wait_until(has_partial_download, convergence_timeout));
    system.set_region_partitioned("zone-b", true);
    ASSERT_TRUE(
        wait_until([&] { return served_version(system, 0) == version; }, convergence_timeout));
    EXPECT_FALSE(is_served_by_all_engines(system, agent_count, version))
        << "the partition began after the rollout had completed";
    system.set_region_partitioned("zone-b", false);
    EXPECT_TRUE(wait_until([&] { return is_served_by_all_engines(system, agent_count, version); },
                           convergence_timeout));
    EXPECT_LE(bytes_served_by_origin(system) - origin_bytes_before, model_bytes * 12 / 10);
}

} // namespace
