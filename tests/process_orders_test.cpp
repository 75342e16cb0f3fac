// An agent that was delayed, paused or replaced must not load a version into its engine that a
// newer configuration has superseded.
#include <csignal>
#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "citronseam/version/permit.h"
#include "support/requests.h"
#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr std::uint64_t next_seed = 2;
constexpr milliseconds wait_timeout{30000};
/// Tokens of a response that takes about five seconds, so that a reload has to wait for its end.
constexpr int long_answer_tokens = 250;
/// About twenty seconds, so that it still runs when a busy machine stops the agent late.
constexpr int longest_answer_tokens = 1000;

/// Places the first agent in zone-a, which the first entry prefers, and the others in zone-b.
deployment_plan orders_plan(int agents, bool is_fencing) {
    deployment_plan plan = rollout_plan(agents, {{"parallel_per_zone: 1", "parallel_per_zone: 2"}});
    for (int i = 0; i < agents; ++i) {
        auto& server = plan.backend_servers[static_cast<std::size_t>(i)];
        server.availability_zone = i == 0 ? "zone-a" : "zone-b";
        server.arguments.insert(server.arguments.end(),
                                {"--token-ms", "20", "--fencing", is_fencing ? "true" : "false"});
    }
    return plan;
}

bool wait_for_status(deployment& system, const std::string& process, const std::string& field,
                     const nlohmann::json& value) {
    return wait_until(
        [&] {
            const auto status = process_status(system, process);
            return status.is_object() && status[field] == value;
        },
        wait_timeout);
}

/// @return a response that the first agent's engine has begun
std::future<http_response> start_long_answer(deployment& system, int tokens = long_answer_tokens) {
    auto answer = std::async(std::launch::async, [&system, tokens] {
        return system.call(0, "POST", "/v1/completions", completion_body("on", tokens, true));
    });
    EXPECT_TRUE(wait_for_status(system, "agent-0", "running", 1));
    return answer;
}

/// Releases a version and waits until the first agent drains for the reload, while its engine still
/// sends the long response. The agent's readiness says nothing of it: a slow status of the engine
/// ends it too.
/// @return the released version
std::string begin_reload(deployment& system) {
    EXPECT_EQ(system.release("pool", model_bytes, next_seed).status, 0);
    std::string version = target_version(system);
    EXPECT_FALSE(system.process("agent-0")
                     .wait_for_line("event=version_drain version=" + version, wait_timeout)
                     .empty());
    EXPECT_FALSE(system.process("agent-0").wait_for_line("ready=false", wait_timeout).empty());
    return version;
}

/// @return the versions that the first engine loaded, oldest first
std::vector<std::string> versions_of_first_engine(deployment& system) {
    std::vector<std::string> versions;
    for (const auto& event : system.recorded_events("agent-0-server")) {
        if (event.value("event", "") == "version") {
            versions.push_back(event["version"]);
        }
    }
    return versions;
}

TEST(process_orders, a_reload_delayed_by_the_store_is_not_sent_with_a_newer_fencing_token) {
    auto plan = orders_plan(2, true);
    plan.has_proxies = true;
    deployment system(plan);
    system.start();
    const std::string old_version = target_version(system);
    auto answer = start_long_answer(system);
    const std::string superseded = begin_reload(system);
    relay& store = system.proxy("store:agent-0");
    store.set_forwarding_paused(true);
    EXPECT_EQ(answer.get().outcome.status, 200);
    ASSERT_TRUE(wait_until([&] { return store.paused_block_count() > 0; }, wait_timeout));
    ASSERT_EQ(system.run_tool({"release", "pool", old_version}).status, 0);
    const std::uint64_t newest = system.status()["generation"];
    ASSERT_TRUE(wait_for_status(system, "agent-0", "generation", newest));
    store.set_forwarding_paused(false);
    // The load fails because the new generation selects another version or, on a slow machine,
    // because the store's response came after the agent's timeout. Either way, the agent must not
    // have sent a load request for the superseded version with the newer number.
    EXPECT_FALSE(system.process("agent-0").wait_for_line("load_failed", wait_timeout).empty());
    for (const auto& event : system.recorded_events("agent-0-server")) {
        const bool is_order = event.value("event", "") == "order";
        EXPECT_FALSE(is_order && event["version"] == superseded && event["fencing"] >= newest)
            << event.dump();
    }
}

TEST(process_orders, an_agent_replaced_while_paused_does_not_load_an_old_version) {
    deployment system(orders_plan(4, false));
    system.start();
    auto answer = start_long_answer(system);
    begin_reload(system);
    system.process("agent-0").send_signal(SIGSTOP);
    system.start_duplicate("agent-0", "agent-0-second");
    ASSERT_EQ(system.release("pool", model_bytes, next_seed + 1).status, 0);
    const std::string newest = target_version(system);
    ASSERT_TRUE(wait_until([&] { return served_version(system, 0) == newest; }, wait_timeout));
    system.process("agent-0").send_signal(SIGCONT);
    // The agent resumes in the middle of its reload. It either fails the load or, which would be
    // the fault, loads the old version.
    ASSERT_TRUE(wait_until(
        [&] {
            const bool is_load_failed =
                system.process("agent-0").output().find("load_failed") != std::string::npos;
            return is_load_failed || versions_of_first_engine(system).back() != newest;
        },
        wait_timeout));
    EXPECT_EQ(versions_of_first_engine(system).back(), newest);
    EXPECT_NE(answer.get().outcome.status, 0);
}

TEST(process_orders, permits_that_could_not_be_released_do_not_delay_a_rollout) {
    constexpr milliseconds rollout_timeout{10000};
    deployment system(orders_plan(2, true));
    system.start();
    auto answer = start_long_answer(system);
    const std::string version = begin_reload(system);
    system.set_faults("store", {{"down", true}});
    EXPECT_EQ(answer.get().outcome.status, 200);
    ASSERT_FALSE(system.process("agent-0").wait_for_line("load_failed", wait_timeout).empty());
    // Time for the agent to try to release its permits, which fails.
    std::this_thread::sleep_for(milliseconds(500));
    system.set_faults("store", {{"down", false}});
    EXPECT_TRUE(
        wait_until([&] { return is_served_by_all_engines(system, 2, version); }, rollout_timeout));
}

TEST(process_orders, an_agent_paused_past_its_permit_expiry_does_not_reload_with_it) {
    deployment system(orders_plan(2, true));
    system.start();
    auto answer = start_long_answer(system, longest_answer_tokens);
    const std::string version = begin_reload(system);
    system.process("agent-0").send_signal(SIGSTOP);
    ASSERT_NE(served_version(system, 0), version) << "it was stopped after its reload";
    std::this_thread::sleep_for(permit_lifetime + seconds(3));
    EXPECT_TRUE(wait_until([&] { return served_version(system, 1) == version; }, wait_timeout));
    system.process("agent-0").send_signal(SIGCONT);
    EXPECT_FALSE(system.process("agent-0").wait_for_line("load_failed", wait_timeout).empty())
        << system.process("agent-0").output();
    EXPECT_TRUE(wait_until([&] { return served_version(system, 0) == version; }, wait_timeout));
    EXPECT_NE(answer.get().outcome.status, 0);
}

} // namespace
