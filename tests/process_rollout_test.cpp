// A released model version reaches all engines of its service despite faults. The served version is
// queried from the engines themselves.
#include <csignal>

#include <gtest/gtest.h>

#include "support/requests.h"
#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr std::uint64_t next_seed = 2;
constexpr milliseconds wait_timeout{30000};
/// Limits the rate so that a transfer takes about two seconds, long enough to inject a fault into
/// it.
const std::map<std::string, std::string> rate_limited{
    {"    rollout:\n", "    rollout:\n      peer_rate: 16Mbit/s\n"}};

TEST(process_rollout, a_release_reaches_all_engines_under_load) {
    deployment system(rollout_plan(4));
    system.start();
    const std::uint64_t initial_origin_bytes = bytes_served_by_origin(system);
    const auto load =
        system.start_load({"--service", "pool", "--rate", "40", "--seconds", "6", "--tokens", "6"});
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    const auto watched = system.run_tool({"rollout", "watch", "pool", "--timeout-s", "20"});
    EXPECT_EQ(watched.status, 0) << watched.errors;
    EXPECT_TRUE(is_served_by_all_engines(system, 4, target_version(system)));
    const auto result = deployment::wait_for_load_result(*load);
    // The load tool compares each response token by token; every event of a response must carry the
    // same version.
    EXPECT_EQ(result["short_answers"], 0) << result.dump();
    EXPECT_EQ(result["answered"], result["sent"]) << result.dump();
    EXPECT_LE(bytes_served_by_origin(system) - initial_origin_bytes, model_bytes * 12 / 10);
}

TEST(process_rollout, corrupted_chunks_of_the_origin_are_fetched_again) {
    deployment system(rollout_plan(2));
    system.start();
    system.set_faults("weights", {{"corrupt", 3}});
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    const std::string version = target_version(system);
    EXPECT_TRUE(
        wait_until([&] { return is_served_by_all_engines(system, 2, version); }, wait_timeout));
}

TEST(process_rollout, corrupted_chunks_of_an_agent_are_fetched_elsewhere) {
    auto plan = rollout_plan(4);
    plan.has_proxies = true;
    deployment system(plan);
    system.start();
    for (int i = 0; i < 4; ++i) {
        system.proxy("swarm:agent-" + std::to_string(i)).corrupt_next_blocks(2);
    }
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    const std::string version = target_version(system);
    EXPECT_TRUE(
        wait_until([&] { return is_served_by_all_engines(system, 4, version); }, wait_timeout));
}

TEST(process_rollout, a_newer_release_supersedes_one_in_progress) {
    deployment system(rollout_plan(4, rate_limited));
    system.start();
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    const std::string superseded = target_version(system);
    ASSERT_EQ(system.release("pool", model_bytes, next_seed + 1).status, 0);
    const std::string newest = target_version(system);
    EXPECT_TRUE(
        wait_until([&] { return is_served_by_all_engines(system, 4, newest); }, wait_timeout));
    EXPECT_NE(superseded, newest);
}

TEST(process_rollout, a_release_reverted_midway_leaves_the_old_version) {
    deployment system(rollout_plan(2, rate_limited));
    system.start();
    const std::string old_version = target_version(system);
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    ASSERT_EQ(system.run_tool({"release", "pool", old_version}).status, 0);
    std::this_thread::sleep_for(seconds(4));
    EXPECT_TRUE(is_served_by_all_engines(system, 2, old_version));
    EXPECT_TRUE(system.wait_until_ready());
}

TEST(process_rollout, agents_that_die_or_restart_without_chunks_do_not_stop_it) {
    deployment system(rollout_plan(4, rate_limited));
    system.start();
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    const std::string version = target_version(system);
    std::this_thread::sleep_for(milliseconds(500));
    system.process("agent-0").send_signal(SIGKILL);
    system.process("agent-1").send_signal(SIGKILL);
    std::this_thread::sleep_for(milliseconds(300));
    system.restart("agent-1");
    EXPECT_TRUE(wait_until(
        [&] {
            return served_version(system, 1) == version && served_version(system, 2) == version &&
                   served_version(system, 3) == version;
        },
        wait_timeout));
}

TEST(process_rollout, it_completes_when_the_store_is_back) {
    deployment system(rollout_plan(4, rate_limited));
    system.start();
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    const std::string version = target_version(system);
    std::this_thread::sleep_for(milliseconds(500));
    system.set_faults("store", {{"down", true}});
    std::this_thread::sleep_for(seconds(3));
    const auto answer = system.call(0, "POST", "/v1/completions", completion_body("on", 4, true));
    EXPECT_EQ(answer.outcome.status, 200) << "a request failed without the store: " << answer.body;
    system.set_faults("store", {{"down", false}});
    EXPECT_TRUE(
        wait_until([&] { return is_served_by_all_engines(system, 4, version); }, wait_timeout));
}

TEST(process_rollout, an_unavailable_origin_after_the_first_copy_does_not_stop_it) {
    deployment system(rollout_plan(2));
    system.start();
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    const std::string version = target_version(system);
    ASSERT_TRUE(
        wait_until([&] { return is_served_by_all_engines(system, 2, version); }, wait_timeout));
    system.set_faults("weights", {{"down", true}});
    system.add_backend_server({"agent-2", "pool", "zone-a", true, {}});
    EXPECT_TRUE(wait_until([&] { return served_version(system, 2) == version; }, wait_timeout));
}

TEST(process_rollout, a_failed_load_is_retried) {
    deployment system(rollout_plan(2));
    system.start();
    system.set_faults("agent-0-server", {{"fail_loads", 2}});
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    const std::string version = target_version(system);
    EXPECT_TRUE(
        wait_until([&] { return is_served_by_all_engines(system, 2, version); }, wait_timeout));
}

TEST(process_rollout, a_version_larger_than_the_memory_is_refused_and_the_old_one_stays) {
    auto plan = rollout_plan(1);
    plan.weight_memory = "1MiB";
    deployment system(plan);
    system.start();
    const std::string old_version = served_version(system, 0);
    ASSERT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    const std::string line =
        system.process("agent-0").wait_for_line("event=version_refused", wait_timeout);
    EXPECT_NE(line.find("do not fit into weight_memory"), std::string::npos) << line;
    EXPECT_EQ(served_version(system, 0), old_version);
    EXPECT_EQ(
        system.call(0, "POST", "/v1/completions", completion_body("on", 4, true)).outcome.status,
        200);
}

} // namespace
