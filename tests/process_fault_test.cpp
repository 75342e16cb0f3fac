// Unresponsive connections, late responses, cold starts and requests that crash their servers.
#include <csignal>
#include <future>

#include <gtest/gtest.h>

#include "support/requests.h"
#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr milliseconds wait_timeout{8000};
/// Silence timeout of the test deployments, plus time for the verdict to reach the caller.
constexpr milliseconds verdict_time_limit{4000};
/// Exit code of the stand-in engine after a request that crashes it.
constexpr int crash_exit_code = 4;

/// @return for each stand-in engine that has crashed, the ID of the request that crashed it
std::vector<std::string> crash_causes(deployment& system, const std::vector<std::string>& servers) {
    std::vector<std::string> causes;
    for (const auto& server : servers) {
        auto& process = system.process(server);
        if (process.wait_for_exit(milliseconds(0)) == crash_exit_code) {
            const auto line = process.wait_for_line("event=crashed_by_request", wait_timeout);
            causes.push_back(log_field_value(line, "request"));
        }
    }
    return causes;
}

TEST(process_fault, requests_on_a_connection_that_went_silent_get_a_verdict) {
    auto plan = small_deployment_plan();
    plan.entry_zones = {"zone-a"};
    plan.has_proxies = true;
    plan.backend_servers = {{"agent-d", "desk", "zone-a", false, {"--work-ms", "30"}}};
    deployment system(plan);
    system.start();
    system.proxy("peer:entry-0").blackhole_open_connections();
    const auto started_at = std::chrono::steady_clock::now();
    const auto booking = send_booking(system, 0, "k");
    EXPECT_EQ(verdict_of(booking), "may_have_run") << booking.body;
    EXPECT_LT(elapsed_ms(started_at, std::chrono::steady_clock::now()), verdict_time_limit.count());
    // A new connection works, so the server must stay in use.
    http_response lookup;
    EXPECT_TRUE(wait_until(
        [&] {
            lookup = system.call(0, "POST", "/services/desk/lookups", "gate");
            return lookup.outcome.status == 200;
        },
        wait_timeout))
        << lookup.body;
}

TEST(process_fault, an_idempotent_request_is_retried_when_its_connection_goes_silent) {
    auto plan = small_deployment_plan();
    plan.entry_zones = {"zone-a"};
    plan.has_proxies = true;
    plan.backend_servers = {{"agent-d", "desk", "zone-a", false, {"--work-ms", "200"}},
                            {"agent-e", "desk", "zone-b", false, {"--work-ms", "200"}}};
    deployment system(plan);
    system.start();
    auto lookup = std::async(std::launch::async, [&system] {
        return system.call(0, "POST", "/services/desk/lookups", "gate");
    });
    std::this_thread::sleep_for(milliseconds(50));
    system.proxy("peer:entry-0").blackhole_open_connections();
    const auto answer = lookup.get();
    EXPECT_EQ(answer.outcome.status, 200) << answer.body;
}

TEST(process_fault, an_agent_resumed_late_mixes_up_no_responses) {
    auto plan = small_deployment_plan();
    plan.backend_servers = {{"agent-a", "pool", "zone-a", true, {}},
                            {"agent-b", "pool", "zone-b", true, {}}};
    deployment system(plan);
    system.start();
    const auto load =
        system.start_load({"--service", "pool", "--rate", "50", "--seconds", "6", "--tokens", "8"});
    for (int i = 0; i < 2; ++i) {
        std::this_thread::sleep_for(milliseconds(500));
        system.process("agent-a").send_signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds(2000));
        system.process("agent-a").send_signal(SIGCONT);
    }
    const auto result = deployment::wait_for_load_result(*load);
    // The load tool knows the expected response to each request and compares every token of it.
    EXPECT_EQ(result["short_answers"], 0) << result.dump();
    EXPECT_GT(result["answered"], 0);
}

/// Three entries and one server, which ends when it runs more than its cold capacity.
deployment_plan cold_server_plan() {
    auto plan = small_deployment_plan();
    plan.entry_zones = {"zone-a", "zone-a", "zone-b"};
    plan.backend_servers = {{"agent-a",
                             "pool",
                             "zone-a",
                             true,
                             {"--cold-capacity", "1", "--cold-requests", "1", "--warm-capacity",
                              "8", "--falls-over", "1"}}};
    return plan;
}

/// Checks that the server still runs, and what it ran while it was cold.
void expect_cold_capacity_kept(deployment& system, const nlohmann::json& result) {
    ASSERT_TRUE(system.process("agent-a-server").is_running())
        << "the server stopped: " << system.process("agent-a-server").output() << result.dump();
    EXPECT_EQ(result["short_answers"], 0) << result.dump();
    const auto status = system.send_http_request(
        "GET", "http://" + system.address("agent-a-server", "http") + "/admin/status");
    EXPECT_LE(nlohmann::json::parse(status.body)["most_while_cold"], 1);
}

TEST(process_fault, a_cold_server_never_runs_more_than_its_cold_capacity) {
    deployment system(cold_server_plan());
    system.start();
    const auto result = system.load({"--service", "pool", "--rate", "300", "--seconds", "2",
                                     "--tokens", "8", "--timeout-ms", "9000"});
    expect_cold_capacity_kept(system, result);
    EXPECT_GE(result["answered"].get<int>(), 9 * result["sent"].get<int>() / 10)
        << result.dump() << system.process("agent-a").output();
}

// Guards against an entry that gets too few of a server's places while the others fill it.
TEST(process_fault, a_cold_server_leaves_no_entry_without_places) {
    deployment system(cold_server_plan());
    system.start();
    // Half of what the queues of the three entries hold for the load's workspace, so that none of
    // them is full on a slow machine, unless one entry gets too few of the server's places.
    constexpr const char* most_running = "96";
    constexpr int min_sent = 300; ///< about three times what the cold capacity can serve
    const auto result =
        system.load({"--service", "pool", "--rate", "300", "--seconds", "2", "--tokens", "8",
                     "--timeout-ms", "9000", "--most-running", most_running});
    expect_cold_capacity_kept(system, result);
    EXPECT_EQ(result["answered"], result["sent"])
        << result.dump() << system.process("agent-a").output();
    EXPECT_GE(result["sent"].get<int>(), min_sent) << result.dump();
}

TEST(process_fault, a_warm_server_that_turns_cold_is_limited_at_once) {
    auto plan = small_deployment_plan();
    plan.backend_servers = {
        {"agent-a", "pool", "zone-a", true, {"--cold-requests", "2", "--warm-capacity", "8"}},
        {"agent-b", "pool", "zone-b", true, {"--cold-requests", "2"}}};
    deployment system(plan);
    system.start();
    const auto load = system.start_load({"--service", "pool", "--rate", "80", "--seconds", "4",
                                         "--tokens", "8", "--timeout-ms", "9000"});
    std::this_thread::sleep_for(seconds(2));
    system.set_faults("agent-a-server", {{"cold", true}});
    const auto result = deployment::wait_for_load_result(*load);
    EXPECT_EQ(result["answered"], result["sent"]) << result.dump();
    // The agent learns of it from the first overloaded response, so only the requests in flight at
    // that moment may exceed the cold limit.
    int refused = 0;
    for (const auto& event : system.recorded_events("agent-a-server")) {
        refused += event.value("event", "") == "overloaded" ? 1 : 0;
    }
    EXPECT_LE(refused, 8);
}

TEST(process_fault, a_request_that_crashes_its_servers_is_quarantined_everywhere) {
    auto plan = small_deployment_plan();
    plan.backend_servers = {{"agent-a", "pool", "zone-a", true, {}},
                            {"agent-b", "pool", "zone-b", true, {}},
                            {"agent-c", "pool", "zone-b", true, {}}};
    deployment system(plan);
    system.start();
    const std::string body = completion_body("crash-the-engine please", 4, true);
    const auto first = system.call(0, "POST", "/v1/completions", body);
    EXPECT_GE(first.outcome.status, 400) << first.body;
    const auto runs = [&system] { return system.count_runs_of_service("pool", "event", "run"); };
    const auto causes = [&system] {
        return crash_causes(system, {"agent-a-server", "agent-b-server", "agent-c-server"});
    };
    http_response retry;
    ASSERT_TRUE(wait_until(
        [&] {
            retry = system.call(1, "POST", "/v1/completions", body);
            return find_header(retry.headers, "X-Refusal") == "quarantined";
        },
        wait_timeout))
        << retry.body;
    EXPECT_EQ(retry.outcome.status, 422);
    EXPECT_EQ(verdict_of(retry), "not_run");
    // A crashing engine closes its sockets, which ends the request, before its process has exited.
    EXPECT_TRUE(wait_until([&] { return causes().size() >= 2; }, wait_timeout))
        << "one request must crash two servers, not " << causes().size();
    EXPECT_EQ(runs(), 0) << "the remaining server must not get the request";
    const auto other =
        system.call(1, "POST", "/v1/completions", completion_body("harmless", 4, true));
    EXPECT_EQ(other.outcome.status, 200) << other.body;
    // The remaining server has just responded, so no crash is still under way.
    const std::string first_id = find_header(first.headers, "X-Request-Id");
    EXPECT_FALSE(first_id.empty());
    EXPECT_EQ(causes(), std::vector<std::string>(2, first_id))
        << "one request must crash two servers and not a third";

    const auto listed = system.run_tool({"quarantine", "list"});
    ASSERT_EQ(listed.status, 0) << listed.errors;
    const auto requests = nlohmann::json::parse(listed.output)["requests"];
    ASSERT_EQ(requests.size(), 1U) << listed.output;
    const std::string fingerprint = requests[0]["fingerprint"];
    EXPECT_EQ(system.run_tool({"quarantine", "release", fingerprint}).status, 0);
    EXPECT_TRUE(wait_until(
        [&] {
            const auto remaining = system.run_tool({"quarantine", "list"});
            return nlohmann::json::parse(remaining.output)["requests"].empty();
        },
        wait_timeout));
}

// Guards against a third crash by a caller that repeats a request at another entry before that one
// has the report of the second crash.
TEST(process_fault, a_crashing_request_is_quarantined_at_an_entry_that_gets_the_reports_late) {
    constexpr milliseconds report_delay{150};
    auto plan = small_deployment_plan();
    plan.has_proxies = true;
    plan.backend_servers = {{"agent-a", "pool", "zone-a", true, {}},
                            {"agent-b", "pool", "zone-b", true, {}},
                            {"agent-c", "pool", "zone-b", true, {}}};
    deployment system(plan);
    system.start();
    // Agents and the first entry connect to the second one, so all that they report passes here.
    system.proxy("peer:entry-1").set_client_delay(report_delay);
    const std::string body = completion_body("crash-the-engine please", 4, true);
    const auto first = system.call(0, "POST", "/v1/completions", body);
    EXPECT_GE(first.outcome.status, 400) << first.body;
    const auto repeated = system.call(1, "POST", "/v1/completions", body);
    EXPECT_EQ(find_header(repeated.headers, "X-Refusal"), "quarantined") << repeated.body;
    EXPECT_EQ(verdict_of(repeated), "not_run");
    const auto other =
        system.call(1, "POST", "/v1/completions", completion_body("harmless", 4, true));
    EXPECT_EQ(other.outcome.status, 200) << "one server is left: " << other.body;
}

// Guards against a caller that waits for ever, or is refused, since an entry does not answer.
TEST(process_fault, a_request_that_lost_its_server_is_repeated_while_another_entry_is_stopped) {
    auto plan = small_deployment_plan();
    plan.backend_servers = {{"agent-a", "pool", "zone-a", true, {"--token-ms", "20"}},
                            {"agent-b", "pool", "zone-b", true, {}}};
    deployment system(plan);
    system.start();
    auto answer = std::async(std::launch::async, [&system] {
        return system.call(0, "POST", "/v1/completions", completion_body("long", 100, false));
    });
    ASSERT_TRUE(wait_until(
        [&] { return process_status(system, "agent-a").value("running", 0) > 0; }, wait_timeout));
    system.process("entry-1").send_signal(SIGSTOP);
    system.process("agent-a-server").send_signal(SIGKILL);
    const auto lost_at = std::chrono::steady_clock::now();
    EXPECT_EQ(answer.get().outcome.status, 200);
    EXPECT_LT(elapsed_ms(lost_at, std::chrono::steady_clock::now()), verdict_time_limit.count());
    system.process("entry-1").send_signal(SIGCONT);
}

// Guards against a request that waits for a server while it is found to crash servers, and is then
// sent to one more.
TEST(process_fault, a_waiting_request_is_quarantined_too) {
    constexpr int short_answer_tokens = 100; ///< two seconds
    constexpr int long_answer_tokens = 400;  ///< eight seconds
    static constexpr milliseconds answer_timeout{30000};
    auto plan = small_deployment_plan();
    plan.entry_zones = {"zone-a"};
    plan.configuration = test_configuration({{"max_concurrency: 8", "max_concurrency: 1"}});
    plan.backend_servers.clear();
    for (const auto* agent : {"agent-a", "agent-b", "agent-c"}) {
        plan.backend_servers.push_back(
            {agent, "pool", "zone-a", true, {"--token-ms", "20", "--cold-requests", "1"}});
    }
    deployment system(plan);
    system.start();
    const auto send = [&system](const std::string& prompt, int tokens) {
        return std::async(std::launch::async, [&system, prompt, tokens] {
            return system.call(0, "POST", "/v1/completions", completion_body(prompt, tokens, true),
                               {}, answer_timeout);
        });
    };
    // Each server runs one request, so the others wait until two servers are free again.
    std::vector<std::future<http_response>> answers;
    for (const int tokens : {long_answer_tokens, short_answer_tokens, short_answer_tokens}) {
        answers.push_back(send("answer " + std::to_string(answers.size()), tokens));
        const auto running = [&] {
            std::size_t count = 0;
            for (const auto* agent : {"agent-a", "agent-b", "agent-c"}) {
                count += process_status(system, agent).value("running", 0) > 0 ? 1 : 0;
            }
            return count;
        };
        ASSERT_TRUE(wait_until([&] { return running() == answers.size(); }, wait_timeout));
    }
    constexpr std::size_t crashing_count = 3;
    std::vector<std::future<http_response>> crashing;
    crashing.reserve(crashing_count);
    for (std::size_t i = 0; i < crashing_count; ++i) {
        crashing.push_back(send("crash-the-engine please", 4));
    }
    int quarantined = 0;
    for (auto& request : crashing) {
        const http_response response = request.get();
        EXPECT_GE(response.outcome.status, 400) << response.body;
        quarantined += find_header(response.headers, "X-Refusal") == "quarantined" ? 1 : 0;
    }
    EXPECT_GE(quarantined, 1) << "the last one was sent to no server";
    EXPECT_EQ(answers.front().get().outcome.status, 200);
    EXPECT_EQ(crash_causes(system, {"agent-a-server", "agent-b-server", "agent-c-server"}).size(),
              2U);
}

// Guards against a crash of the entry: thousands of response parts are written while callers read
// too slowly, which made the write queue of the HTTP library end the process.
TEST(process_fault, an_entry_survives_callers_that_read_too_slowly) {
    auto plan = small_deployment_plan();
    plan.entry_zones = {"zone-a"};
    plan.configuration = test_configuration({{"max_concurrency: 8", "max_concurrency: 500"},
                                             {"queue_limit: 256", "queue_limit: 2000"}});
    plan.backend_servers.clear();
    for (const auto* agent : {"agent-a", "agent-b", "agent-c"}) {
        plan.backend_servers.push_back(
            {agent,
             "pool",
             "zone-a",
             true,
             {"--token-ms", "10", "--warm-capacity", "500", "--cold-requests", "1"}});
    }
    deployment system(plan);
    system.start();
    system.load({"--service", "pool", "--rate", "150", "--seconds", "3", "--tokens", "4"});
    const auto result =
        system.load({"--service", "pool", "--rate", "1500", "--seconds", "2", "--tokens", "40"});
    EXPECT_TRUE(system.process("entry-0").is_running()) << system.process("entry-0").errors();
    EXPECT_EQ(result["short_answers"], 0) << result.dump();
    EXPECT_GT(result["answered"], 0) << result.dump();
}

} // namespace
