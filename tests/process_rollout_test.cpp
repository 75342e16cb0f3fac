// From one release to whole replicas, under faults. What engines serve is read from their records.
#include <csignal>

#include <gtest/gtest.h>

#include "support/requests.h"
#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr std::uint64_t next_seed = 2;
constexpr milliseconds bound{30000};
/// Paced so that a transfer takes about two seconds, time enough for a fault in its middle.
const std::map<std::string, std::string> paced{
    {"    rollout:\n", "    rollout:\n      peer_rate: 16Mbit/s\n"}};

TEST(process_rollout, a_release_reaches_all_while_requests_flow) {
    deployment system(rollout_plan(4));
    system.start();
    const std::uint64_t before = origin_bytes(system);
    const auto load =
        system.start_load({"--service", "pool", "--rate", "40", "--seconds", "6", "--tokens", "6"});
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    const auto watched = system.tool({"rollout", "watch", "pool", "--timeout-s", "20"});
    EXPECT_EQ(watched.status, 0) << watched.errors;
    EXPECT_TRUE(is_everywhere(system, 4, wanted(system)));
    const auto result = deployment::load_result(*load);
    // Each answer is compared token by token, and every event must name the same version.
    EXPECT_EQ(result["short_answers"], 0) << result.dump();
    EXPECT_EQ(result["answered"], result["sent"]) << result.dump();
    EXPECT_LE(origin_bytes(system) - before, model_size * 12 / 10);
}

TEST(process_rollout, corrupted_chunks_of_the_origin_are_drawn_again) {
    deployment system(rollout_plan(2));
    system.start();
    system.set_faults("weights", {{"corrupt", 3}});
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    const std::string version = wanted(system);
    EXPECT_TRUE(wait_until([&] { return is_everywhere(system, 2, version); }, bound));
}

TEST(process_rollout, corrupted_chunks_of_an_agent_are_taken_elsewhere) {
    auto plan = rollout_plan(4);
    plan.has_relays = true;
    deployment system(plan);
    system.start();
    for (int i = 0; i < 4; ++i) {
        system.link("swarm:agent-" + std::to_string(i)).corrupt_blocks(2);
    }
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    const std::string version = wanted(system);
    EXPECT_TRUE(wait_until([&] { return is_everywhere(system, 4, version); }, bound));
}

TEST(process_rollout, a_newer_release_overtakes_one_under_way) {
    deployment system(rollout_plan(4, paced));
    system.start();
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    const std::string overtaken = wanted(system);
    ASSERT_EQ(system.release("pool", model_size, next_seed + 1).status, 0);
    const std::string newest = wanted(system);
    EXPECT_TRUE(wait_until([&] { return is_everywhere(system, 4, newest); }, bound));
    EXPECT_NE(overtaken, newest);
}

TEST(process_rollout, a_release_withdrawn_midway_leaves_the_old_version) {
    deployment system(rollout_plan(2, paced));
    system.start();
    const std::string old = wanted(system);
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    ASSERT_EQ(system.tool({"release", "pool", old}).status, 0);
    std::this_thread::sleep_for(seconds(4));
    EXPECT_TRUE(is_everywhere(system, 2, old));
    EXPECT_TRUE(system.wait_until_ready());
}

TEST(process_rollout, agents_that_die_or_restart_empty_do_not_stop_it) {
    deployment system(rollout_plan(4, paced));
    system.start();
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    const std::string version = wanted(system);
    std::this_thread::sleep_for(milliseconds(500));
    system.process("agent-0").send_signal(SIGKILL);
    system.process("agent-1").send_signal(SIGKILL);
    std::this_thread::sleep_for(milliseconds(300));
    system.restart("agent-1");
    EXPECT_TRUE(wait_until(
        [&] {
            return version_in_force(system, 1) == version &&
                   version_in_force(system, 2) == version && version_in_force(system, 3) == version;
        },
        bound));
}

TEST(process_rollout, it_ends_when_the_store_is_back) {
    deployment system(rollout_plan(4, paced));
    system.start();
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    const std::string version = wanted(system);
    std::this_thread::sleep_for(milliseconds(500));
    system.set_faults("store", {{"down", true}});
    std::this_thread::sleep_for(seconds(3));
    const auto during = system.call(0, "POST", "/v1/completions", completion("on", 4, true));
    EXPECT_EQ(during.outcome.status, 200) << "requests flow without the store: " << during.body;
    system.set_faults("store", {{"down", false}});
    EXPECT_TRUE(wait_until([&] { return is_everywhere(system, 4, version); }, bound));
}

TEST(process_rollout, an_origin_gone_after_the_first_copy_is_not_missed) {
    deployment system(rollout_plan(2));
    system.start();
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    const std::string version = wanted(system);
    ASSERT_TRUE(wait_until([&] { return is_everywhere(system, 2, version); }, bound));
    system.set_faults("weights", {{"down", true}});
    system.add_backend_server({"agent-2", "pool", "zone-a", true, {}});
    EXPECT_TRUE(wait_until([&] { return version_in_force(system, 2) == version; }, bound));
}

TEST(process_rollout, a_failed_load_falls_back_and_is_tried_again) {
    deployment system(rollout_plan(2));
    system.start();
    system.set_faults("agent-0-server", {{"fail_loads", 2}});
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    const std::string version = wanted(system);
    EXPECT_TRUE(wait_until([&] { return is_everywhere(system, 2, version); }, bound));
}

TEST(process_rollout, a_version_larger_than_the_memory_is_refused_and_the_old_one_serves) {
    auto plan = rollout_plan(1);
    plan.weight_memory = "1MiB";
    deployment system(plan);
    system.start();
    const std::string old = version_in_force(system, 0);
    ASSERT_EQ(system.release("pool", model_size, next_seed).status, 0);
    const std::string line =
        system.process("agent-0").wait_for_line("event=version_refused", bound);
    EXPECT_NE(line.find("do not fit into weight_memory"), std::string::npos) << line;
    EXPECT_EQ(version_in_force(system, 0), old);
    EXPECT_EQ(system.call(0, "POST", "/v1/completions", completion("on", 4, true)).outcome.status,
              200);
}

} // namespace
