// Taking an availability zone out of service, and shutting down agents and entries: no new work
// arrives after the bound, and no request in flight is aborted.
#include <csignal>

#include <gtest/gtest.h>

#include "support/requests.h"
#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

/// Time after which a zone taken out of service, or an agent that shuts down, must get no new work.
constexpr milliseconds removal_bound{3000};

deployment_plan pool_plan() {
    auto plan = small_deployment_plan();
    plan.backend_servers = {{"agent-a", "pool", "zone-a", true, {"--cold-requests", "1"}},
                            {"agent-b", "pool", "zone-b", true, {"--cold-requests", "1"}}};
    return plan;
}

std::vector<std::string> load_arguments(const std::string& seconds,
                                        const std::string& rate = "40") {
    return {"--service", "pool", "--rate", rate, "--seconds", seconds, "--tokens", "4"};
}

void expect_all_answered(const nlohmann::json& load) {
    EXPECT_EQ(load["answered"], load["sent"]) << load.dump();
    EXPECT_EQ(load["short_answers"], 0) << load.dump();
}

TEST(process_zone, a_zone_taken_out_of_service_gets_no_new_work_until_restored) {
    deployment system(pool_plan());
    system.start();
    const auto load = system.start_load(load_arguments("9"));
    std::this_thread::sleep_for(seconds(1));
    const auto out = system.run_tool({"zone", "out", "zone-a"});
    ASSERT_EQ(out.status, 0) << out.errors;
    const std::uint64_t no_work_after_ms = wall_clock_ms() + removal_bound.count();
    std::this_thread::sleep_for(seconds(5));
    EXPECT_EQ(count_runs_after(system, "agent-a-server", no_work_after_ms), 0);
    EXPECT_GT(count_runs_after(system, "agent-b-server", no_work_after_ms), 0);
    const std::uint64_t restored_at_ms = wall_clock_ms();
    ASSERT_EQ(system.run_tool({"zone", "in", "zone-a"}).status, 0);
    expect_all_answered(deployment::wait_for_load_result(*load));
    EXPECT_GT(count_runs_after(system, "agent-a-server", restored_at_ms), 0);
}

TEST(process_zone, a_zone_removal_holds_while_the_table_service_is_down) {
    deployment system(pool_plan());
    system.start();
    system.set_faults("store", {{"hang", true}});
    const auto load = system.start_load(load_arguments("7"));
    const auto out = system.run_tool({"zone", "out", "zone-a"});
    EXPECT_EQ(out.status, 3) << "the configuration could not be changed: " << out.errors;
    const std::uint64_t no_work_after_ms = wall_clock_ms() + removal_bound.count();
    expect_all_answered(deployment::wait_for_load_result(*load));
    EXPECT_EQ(count_runs_after(system, "agent-a-server", no_work_after_ms), 0);
    EXPECT_GT(count_runs_after(system, "agent-b-server", no_work_after_ms), 0);
}

TEST(process_zone, a_zone_removal_holds_while_an_entry_is_partitioned_from_the_other_entries) {
    auto plan = pool_plan();
    plan.entry_zones = {"zone-a", "zone-b", "zone-b"};
    plan.has_proxies = true;
    deployment system(plan);
    system.start();
    // entry-0 reaches neither the table service nor the other entries; the agents are connected to
    // all entries.
    system.proxy("store:entry-0").set_disconnected(true);
    system.proxy("peer:entry-1").set_disconnected(true);
    system.proxy("peer:entry-2").set_disconnected(true);
    const auto out = system.run_tool(
        {"zone", "out", "zone-a", "--entry", system.address("entry-1", "operator")});
    ASSERT_EQ(out.status, 0) << out.errors;
    const std::uint64_t no_work_after_ms = wall_clock_ms() + removal_bound.count();
    const auto load =
        system.start_load({"--service", "pool", "--rate", "20", "--seconds", "6", "--tokens", "4",
                           "--target", "http://" + system.address("entry-0", "http")});
    const auto result = deployment::wait_for_load_result(*load);
    EXPECT_EQ(result["short_answers"], 0);
    EXPECT_EQ(count_runs_after(system, "agent-a-server", no_work_after_ms), 0) << result.dump();
}

TEST(process_zone, a_zone_removal_holds_for_an_agent_resumed_after_a_pause) {
    deployment system(pool_plan());
    system.start();
    system.process("agent-a").send_signal(SIGSTOP);
    // These requests stay in the paused agent's socket buffer while their callers wait.
    const auto load = system.start_load({"--service", "pool", "--rate", "40", "--seconds", "1",
                                         "--tokens", "4", "--timeout-ms", "20000"});
    std::this_thread::sleep_for(milliseconds(500));
    ASSERT_EQ(system.run_tool({"zone", "out", "zone-a"}).status, 0);
    const std::uint64_t no_work_after_ms = wall_clock_ms() + removal_bound.count();
    std::this_thread::sleep_for(removal_bound + milliseconds(500));
    system.process("agent-a").send_signal(SIGCONT);
    std::this_thread::sleep_for(seconds(2));
    const auto result = deployment::wait_for_load_result(*load);
    EXPECT_EQ(result["short_answers"], 0) << result.dump();
    EXPECT_EQ(count_runs_after(system, "agent-a-server", no_work_after_ms), 0);
}

TEST(process_zone, a_terminating_agent_finishes_its_requests) {
    auto plan = pool_plan();
    for (auto& server : plan.backend_servers) {
        server.arguments.insert(server.arguments.end(), {"--token-ms", "60"});
    }
    deployment system(plan);
    system.start();
    // Warm up both servers, so that their admission limits allow the load.
    system.load({"--service", "pool", "--rate", "6", "--seconds", "3", "--tokens", "2"});
    const auto load =
        system.start_load({"--service", "pool", "--rate", "3", "--seconds", "6", "--tokens", "20"});
    std::this_thread::sleep_for(seconds(2));
    system.process("agent-a").send_signal(SIGTERM);
    const std::uint64_t no_work_after_ms = wall_clock_ms() + removal_bound.count();
    EXPECT_EQ(system.process("agent-a").wait_for_exit(milliseconds(10000)), 0);
    const auto result = deployment::wait_for_load_result(*load);
    EXPECT_EQ(result["aborted"], 0) << result.dump();
    EXPECT_EQ(result["short_answers"], 0);
    EXPECT_EQ(count_runs_after(system, "agent-a-server", no_work_after_ms), 0);
}

TEST(process_zone, a_terminating_entry_finishes_its_responses_and_redirects_callers) {
    auto plan = pool_plan();
    plan.backend_servers[0].arguments.insert(plan.backend_servers[0].arguments.end(),
                                             {"--token-ms", "100"});
    deployment system(plan);
    system.start();
    auto in_flight = std::async(std::launch::async, [&system] {
        return system.call(0, "POST", "/v1/completions", completion_body("long", 40, true));
    });
    ASSERT_TRUE(wait_until(
        [&] { return process_status(system, "agent-a").value("running", 0) > 0; }, removal_bound));
    system.process("entry-0").send_signal(SIGTERM);
    ASSERT_TRUE(wait_until(
        [&] {
            const auto ready = system.send_http_request(
                "GET", "http://" + system.address("entry-0", "operator") + "/readyz");
            return ready.body.find("leaving") != std::string::npos;
        },
        removal_bound));
    const auto refused = system.call(0, "POST", "/v1/completions", completion_body("new", 4, true));
    EXPECT_EQ(refused.outcome.status, 307);
    EXPECT_EQ(verdict_of(refused), "not_run");
    EXPECT_NE(find_header(refused.headers, "Location").find(system.address("entry-1", "http")),
              std::string::npos);
    http_response entries;
    EXPECT_TRUE(wait_until(
        [&] {
            entries = system.call(1, "GET", "/v1/entries");
            return nlohmann::json::parse(entries.body)["entries"].size() == 1U;
        },
        removal_bound))
        << entries.body;
    const auto answer = in_flight.get();
    EXPECT_TRUE(answer.outcome.is_complete);
    EXPECT_NE(answer.body.find("[DONE]"), std::string::npos);
    EXPECT_EQ(system.process("entry-0").wait_for_exit(milliseconds(15000)), 0);
}

} // namespace
