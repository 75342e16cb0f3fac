// A region that loses the platform and all other regions for a while.
#include <gtest/gtest.h>

#include "support/requests.h"
#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

/// After this time a zone that was taken out gets no new work.
constexpr milliseconds out_bound{3000};
constexpr milliseconds bound{30000};
constexpr std::uint64_t next_seed = 2;

deployment_plan region_plan(deployment_plan plan) {
    plan.has_relays = true;
    plan.has_region_links = true;
    return plan;
}

TEST(process_region, a_zone_taken_out_behind_the_cut_gets_no_new_work_and_comes_back) {
    deployment system(region_plan(rollout_plan(2)));
    system.start();
    system.use_one_entry(0);
    const std::vector<std::string> to_the_cut_region{
        "--service", "pool",
        "--rate",    "40",
        "--seconds", "8",
        "--tokens",  "4",
        "--target",  "http://" + system.address("entry-1", "http")};
    const auto load = system.start_load(to_the_cut_region);
    system.cut_region("zone-b", true);
    const std::uint64_t cut_at = wall_clock_ms();
    ASSERT_EQ(system.tool({"zone", "out", "zone-b"}).status, 0);
    const std::uint64_t moment = wall_clock_ms() + out_bound.count();
    const auto result = deployment::load_result(*load);
    EXPECT_GT(runs_after(system, "agent-1-server", cut_at), 0) << "it serves on until then";
    EXPECT_EQ(runs_after(system, "agent-1-server", moment), 0) << result.dump();
    EXPECT_EQ(result["short_answers"], 0) << result.dump();
    EXPECT_GT(result["refused"], 0)
        << "callers there are told, not left waiting: " << result.dump();
    system.cut_region("zone-b", false);
    ASSERT_EQ(system.tool({"zone", "in", "zone-b"}).status, 0);
    EXPECT_TRUE(wait_until(
        [&] {
            const auto answer =
                system.call(1, "POST", "/v1/completions", completion("again", 2, false));
            return find_header(answer.headers, "X-Served-By") == "agent-1";
        },
        bound));
}

TEST(process_region, a_transfer_goes_on_after_the_region_was_cut_off_in_its_middle) {
    constexpr int agents = 4;
    auto plan = rollout_plan(agents, {{"link_rate: 20Mbit/s", "link_rate: 4Mbit/s"}});
    for (int i = 1; i < agents; ++i) {
        plan.backend_servers[static_cast<std::size_t>(i)].availability_zone = "zone-b";
    }
    deployment system(region_plan(plan));
    system.start();
    system.use_one_entry(0);
    const std::uint64_t before = origin_bytes(system);
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    const std::string version = wanted(system);
    const auto chunks_at = [&](const std::string& agent) {
        return own_status(system, agent).value("chunks_held", 0);
    };
    const auto has_part = [&] {
        return own_status(system, "agent-1").value("wanted", "") == version &&
               chunks_at("agent-1") > 2;
    };
    ASSERT_TRUE(wait_until(has_part, bound));
    system.cut_region("zone-b", true);
    ASSERT_TRUE(wait_until([&] { return version_in_force(system, 0) == version; }, bound));
    EXPECT_FALSE(is_everywhere(system, agents, version)) << "the cut came too late";
    system.cut_region("zone-b", false);
    EXPECT_TRUE(wait_until([&] { return is_everywhere(system, agents, version); }, bound));
    EXPECT_LE(origin_bytes(system) - before, model_size * 12 / 10);
}

} // namespace
