// A non-idempotent request runs at most once, whichever component fails. The runs are counted in
// the event record of the stand-in backend server, not taken from responses.
#include <csignal>

#include <gtest/gtest.h>

#include "citronseam/process/sizes.h"
#include "support/requests.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr milliseconds wait_timeout{8000};

deployment_plan desk_plan(int work_ms) {
    deployment_plan plan = small_deployment_plan();
    const std::vector<std::string> arguments{"--work-ms", std::to_string(work_ms)};
    plan.backend_servers = {{"agent-d", "desk", "zone-a", false, arguments},
                            {"agent-e", "desk", "zone-b", false, arguments}};
    return plan;
}

/// Waits until the request with a key runs at one of the servers.
bool wait_for_run(deployment& system, const std::string& key) {
    return wait_until([&] { return system.count_runs_of_service("desk", "key", key) > 0; },
                      wait_timeout);
}

int run_count(deployment& system, const std::string& key) {
    return system.count_runs_of_service("desk", "key", key);
}

/// @return the name of the agent whose server ran the request with a key
std::string agent_that_ran(deployment& system, const std::string& key) {
    return system.count_runs("agent-d-server", "key", key) > 0 ? "agent-d" : "agent-e";
}

/// Repeats a booking until it is answered with 200.
/// @return the last response
http_response book_until_answered(deployment& system, std::size_t entry, const std::string& key) {
    http_response answer;
    const bool is_answered = wait_until(
        [&] {
            answer = send_booking(system, entry, key);
            return answer.outcome.status == 200;
        },
        wait_timeout);
    EXPECT_TRUE(is_answered) << answer.body;
    return answer;
}

TEST(process_once, a_key_sent_again_at_another_entry_replays_the_whole_answer) {
    deployment system(desk_plan(5));
    system.start();
    const auto first = send_booking(system, 0, "k");
    ASSERT_EQ(first.outcome.status, 200) << first.body;
    const http_response again = book_until_answered(system, 1, "k");
    EXPECT_EQ(again.body, first.body);
    EXPECT_EQ(find_header(again.headers, "X-Replayed"), "true");
    EXPECT_EQ(run_count(system, "k"), 1);
    const auto other = send_booking(system, 0, "k", "another berth");
    EXPECT_EQ(other.outcome.status, 422) << "a key was accepted for a different request";
    EXPECT_EQ(run_count(system, "k"), 1);
}

TEST(process_once, a_request_without_a_key_is_refused_as_not_run) {
    deployment system(desk_plan(5));
    system.start();
    const auto answer = system.call(0, "POST", "/services/desk/bookings", "berth");
    EXPECT_EQ(answer.outcome.status, 400);
    EXPECT_EQ(verdict_of(answer), "not_run");
    EXPECT_EQ(run_count(system, ""), 0);
}

TEST(process_once, a_claim_whose_answer_was_lost_still_runs_once) {
    deployment system(desk_plan(5));
    system.start();
    system.set_faults("store", {{"lose_answers", 1}});
    const auto answer = send_booking(system, 0, "k");
    EXPECT_EQ(answer.outcome.status, 200) << answer.body;
    EXPECT_EQ(run_count(system, "k"), 1);
}

TEST(process_once, two_entries_at_once_run_it_once) {
    deployment system(desk_plan(100));
    system.start();
    auto first = start_booking(system, 0, "k");
    auto second = start_booking(system, 1, "k");
    const auto first_answer = first.get();
    const auto second_answer = second.get();
    EXPECT_TRUE(first_answer.outcome.status == 200 || second_answer.outcome.status == 200);
    for (const auto& answer : {first_answer, second_answer}) {
        if (answer.outcome.status != 200) {
            EXPECT_EQ(answer.outcome.status, 409) << answer.body;
            EXPECT_EQ(verdict_of(answer), "may_have_run");
            EXPECT_FALSE(find_header(answer.headers, "Retry-After").empty());
        }
    }
    EXPECT_EQ(run_count(system, "k"), 1);
}

TEST(process_once, an_agent_killed_during_the_run_results_in_may_have_run) {
    deployment system(desk_plan(1500));
    system.start();
    auto call = start_booking(system, 0, "k");
    ASSERT_TRUE(wait_for_run(system, "k"));
    const std::string agent = agent_that_ran(system, "k");
    system.process(agent).send_signal(SIGKILL);
    const auto answer = call.get();
    EXPECT_EQ(answer.outcome.status, 502) << answer.body;
    EXPECT_EQ(verdict_of(answer), "may_have_run");
    const auto again = send_booking(system, 1, "k");
    EXPECT_EQ(again.outcome.status, 409) << again.body;
    EXPECT_EQ(verdict_of(again), "may_have_run");
    EXPECT_EQ(run_count(system, "k"), 1);
    const auto settled =
        system.run_tool({"key", "settle", "desk", "k", "--note", "berth 7 is taken"});
    EXPECT_EQ(settled.status, 0) << settled.errors;
    const auto settled_answer = send_booking(system, 1, "k");
    EXPECT_NE(settled_answer.body.find("berth 7 is taken"), std::string::npos)
        << settled_answer.body;
    EXPECT_EQ(run_count(system, "k"), 1);
}

TEST(process_once, an_agent_paused_before_its_claim_does_not_run_what_ran_elsewhere) {
    deployment system(desk_plan(5));
    system.start();
    system.process("agent-d").send_signal(SIGSTOP);
    system.process("agent-e").send_signal(SIGSTOP);
    auto paused = start_booking(system, 0, "k", milliseconds(1000));
    paused.wait();
    system.process("agent-e").send_signal(SIGCONT);
    http_response other_entry_answer;
    ASSERT_TRUE(wait_until(
        [&] {
            other_entry_answer = send_booking(system, 1, "k");
            return other_entry_answer.outcome.status == 200;
        },
        wait_timeout))
        << other_entry_answer.body;
    system.process("agent-d").send_signal(SIGCONT);
    ASSERT_TRUE(system.wait_until_ready());
    EXPECT_EQ(run_count(system, "k"), 1);
}

TEST(process_once, an_entry_resumed_after_the_caller_retried_elsewhere_runs_nothing_twice) {
    deployment system(desk_plan(5));
    system.start();
    system.process("entry-0").send_signal(SIGSTOP);
    const auto lost = send_booking(system, 0, "k", "berth 7", milliseconds(500));
    EXPECT_FALSE(lost.outcome.is_complete);
    const auto other_entry_answer = send_booking(system, 1, "k");
    EXPECT_EQ(other_entry_answer.outcome.status, 200) << other_entry_answer.body;
    system.process("entry-0").send_signal(SIGCONT);
    ASSERT_TRUE(system.wait_until_ready());
    EXPECT_EQ(run_count(system, "k"), 1);
}

TEST(process_once, without_the_store_it_is_refused_as_not_run_and_idempotent_calls_succeed) {
    deployment system(desk_plan(5));
    system.start();
    system.set_faults("store", {{"down", true}});
    const auto refused = send_booking(system, 0, "k");
    EXPECT_EQ(refused.outcome.status, 503) << refused.body;
    EXPECT_EQ(verdict_of(refused), "not_run");
    EXPECT_FALSE(find_header(refused.headers, "Retry-After").empty());
    const auto lookup = system.call(0, "POST", "/services/desk/lookups", "gate 3");
    EXPECT_EQ(lookup.outcome.status, 200) << lookup.body;
    EXPECT_EQ(run_count(system, "k"), 0) << "a request that was reported as not run has run";
    system.set_faults("store", {{"down", false}});
    EXPECT_EQ(send_booking(system, 0, "k").outcome.status, 200);
    EXPECT_EQ(run_count(system, "k"), 1);
}

TEST(process_once, a_result_that_could_not_be_written_is_stored_when_the_store_is_back) {
    deployment system(desk_plan(700));
    system.start();
    auto call = start_booking(system, 0, "k");
    ASSERT_TRUE(wait_for_run(system, "k"));
    system.set_faults("store", {{"down", true}});
    const auto answer = call.get();
    EXPECT_EQ(answer.outcome.status, 200) << answer.body;
    system.set_faults("store", {{"down", false}});
    const http_response again = book_until_answered(system, 1, "k");
    EXPECT_EQ(again.body, answer.body);
    EXPECT_EQ(run_count(system, "k"), 1);
}

TEST(process_once, a_response_cut_off_by_the_service_results_in_may_have_run) {
    deployment system(desk_plan(5));
    system.start();
    for (const auto* server : {"agent-d-server", "agent-e-server"}) {
        system.set_faults(server, {{"cut_streams", 1}});
    }
    const auto answer = send_booking(system, 0, "k");
    EXPECT_EQ(answer.outcome.status, 502) << answer.body;
    EXPECT_EQ(verdict_of(answer), "may_have_run");
    EXPECT_EQ(run_count(system, "k"), 1);
    EXPECT_EQ(send_booking(system, 1, "k").outcome.status, 409);
    EXPECT_EQ(run_count(system, "k"), 1);
}

TEST(process_once, an_expired_key_is_removed_with_its_large_response_object) {
    auto plan = desk_plan(5);
    plan.configuration = test_configuration(
        {{"request_timeout: 5s", "request_timeout: 500ms\n      result_retention: 1s"}});
    plan.control_yaml += "  key_sweep: 5ms\n";
    deployment system(plan);
    system.start();
    const auto object_count = [&system] {
        const auto counts = system.send_http_request(
            "GET", "http://" + system.address("store", "http") + "/counts");
        return nlohmann::json::parse(counts.body)["objects"].get<int>();
    };
    const int initial_count = object_count();
    // The service echoes the body, so the response is too large for a row.
    const auto first = send_booking(system, 0, "k", std::string(100 * kibibyte, 'b'));
    ASSERT_EQ(first.outcome.status, 200);
    ASSERT_TRUE(wait_until([&] { return object_count() > initial_count; }, wait_timeout));
    EXPECT_TRUE(wait_until([&] { return object_count() == initial_count; }, wait_timeout));
    EXPECT_EQ(send_booking(system, 0, "k").outcome.status, 200)
        << "an expired key was not accepted for a new request";
}

} // namespace
