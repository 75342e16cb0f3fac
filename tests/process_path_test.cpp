// End-to-end requests through entry, agent and backend server as separate processes.
#include <csignal>
#include <future>

#include <asio.hpp>
#include <gtest/gtest.h>

#include "support/requests.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

TEST(process_path, streams_a_completion_and_forwards_a_plain_request) {
    deployment system(small_deployment_plan());
    system.start();
    const auto entries = system.call(0, "GET", "/v1/entries?zone=zone-b");
    ASSERT_EQ(entries.outcome.status, 200);
    const auto list = nlohmann::json::parse(entries.body)["entries"];
    ASSERT_EQ(list.size(), 2U);
    EXPECT_EQ(list[0]["availability_zone"], "zone-b");

    const auto streamed =
        system.call(0, "POST", "/v1/completions", completion_body("hello", 8, true));
    EXPECT_TRUE(streamed.outcome.is_complete) << streamed.outcome.message;
    EXPECT_EQ(streamed.outcome.status, 200) << streamed.body;
    EXPECT_NE(streamed.body.find("[DONE]"), std::string::npos);
    EXPECT_EQ(find_header(streamed.headers, "X-Run-Verdict"), "ran");
    EXPECT_EQ(find_header(streamed.headers, "X-Model-Version").size(), 64U);

    const auto plain = system.call(1, "POST", "/services/desk/bookings", "berth 7",
                                   {{"Idempotency-Key", "key-1"}});
    EXPECT_EQ(plain.outcome.status, 200) << plain.body;
    EXPECT_NE(plain.body.find("berth 7"), std::string::npos);
    EXPECT_EQ(system.count_runs("agent-d-server", "key", "key-1"), 1);

    // An entry counts a response after it has sent it.
    constexpr milliseconds count_timeout{5000};
    for (const auto* process : {"entry-1", "agent-d"}) {
        EXPECT_TRUE(wait_until(
            [&] {
                const auto metrics_page = system.send_http_request(
                    "GET", "http://" + system.address(process, "operator") + "/metrics");
                return metrics_page.body.find(
                           "seconds_bucket{class=\"normal\",result=\"answered\",service="
                           "\"desk\",workspace=\"other\"") != std::string::npos;
            },
            count_timeout))
            << process;
    }
}

TEST(process_path, an_engine_killed_mid_stream_aborts_the_transfer) {
    auto plan = small_deployment_plan();
    plan.backend_servers = {{"agent-a", "pool", "zone-a", true, {"--token-ms", "20"}}};
    deployment system(plan);
    system.start();
    http_client client;
    http_request request;
    request.method = "POST";
    request.url = "http://" + system.address("entry-0", "http") + "/v1/completions";
    request.body = completion_body("long", 500, true);
    std::string body;
    std::promise<http_outcome> outcome_promise;
    bool is_killed = false;
    http_observer observer;
    observer.on_data = [&](std::string_view data) {
        body += data;
        if (!is_killed) {
            is_killed = true;
            system.process("agent-a-server").send_signal(SIGKILL);
        }
        return true;
    };
    observer.on_done = [&](const http_outcome& outcome) { outcome_promise.set_value(outcome); };
    client.send(request, observer);
    auto outcome_future = outcome_promise.get_future();
    ASSERT_EQ(outcome_future.wait_for(std::chrono::seconds(10)), std::future_status::ready);
    EXPECT_FALSE(outcome_future.get().is_complete) << "a truncated response must not look complete";
    EXPECT_EQ(body.find("[DONE]"), std::string::npos);
}

// Guards against a stand-in that accepts connections after its end, as processes that the test
// started have inherited its listening socket.
TEST(process_path, a_started_process_keeps_no_listening_socket_of_the_test_open) {
    asio::io_context loop;
    asio::ip::tcp::acceptor listener(loop, {asio::ip::make_address("127.0.0.1"), 0});
    const auto endpoint = listener.local_endpoint();
    deployment system(small_deployment_plan());
    system.start_processes();
    listener.close();
    asio::ip::tcp::socket client(loop);
    asio::error_code error;
    client.connect(endpoint, error);
    EXPECT_EQ(error, asio::error::connection_refused) << error.message();
}

} // namespace
