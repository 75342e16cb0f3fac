// Callers that leave before a busy gateway has read their requests, on a simulated platform.
#include <csignal>
#include <thread>

#include <gtest/gtest.h>

#include <asio.hpp>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr int callers_of_each_kind = 40;
constexpr milliseconds pause{2000};
constexpr milliseconds settling_time{500};

class late_gateway : public ::testing::Test {
protected:
    void SetUp() override {
        ASSERT_TRUE(world.start()) << world.gateway(0).output();
        ASSERT_TRUE(wait_until(
            [this] { return world.call(0, "GET", "/look/1", {key_header}).outcome.status == 200; },
            settling_time * 10));
    }

    asio::ip::tcp::socket send_request(const std::string& attempt) {
        asio::ip::tcp::socket socket(loop);
        socket.connect({asio::ip::make_address("127.0.0.1"), world.http_port(0)});
        const std::string text = "GET /look/1 HTTP/1.1\r\nHost: a.example\r\n" + key_header.name +
                                 ": " + key_header.value +
                                 "\r\nX-Citronseam-Attempt-Id: " + attempt +
                                 "\r\nX-Citronseam-Deadline-Ms: 5000\r\n\r\n";
        asio::write(socket, asio::buffer(text));
        return socket;
    }

    /// @return number of attempts that servers ran whose identifier begins so
    int run_count(const std::string& prefix) const {
        int count = 0;
        for (const auto& server : world.plain_servers) {
            for (const auto& [attempt, runs] : server->runs_per_attempt()) {
                count += attempt.rfind(prefix, 0) == 0 ? runs : 0;
            }
        }
        return count;
    }

    platform_world world;
    asio::io_context loop;
    const http_header key_header{"Authorization", std::string("Token ") + platform_world::api_key};
};

// Guards against GONE: a gateway that reads requests late sends them on although their callers have
// left.
TEST_F(late_gateway, request_whose_caller_has_left_reaches_no_server) {
    world.gateway(0).send_signal(SIGSTOP);
    std::vector<asio::ip::tcp::socket> waiting;
    for (int i = 0; i < callers_of_each_kind; ++i) {
        send_request("left-" + std::to_string(i)).close();
        waiting.push_back(send_request("waits-" + std::to_string(i)));
    }
    std::this_thread::sleep_for(pause);
    world.gateway(0).send_signal(SIGCONT);
    for (auto& socket : waiting) {
        std::string answer;
        asio::error_code ec;
        asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", ec);
        const bool is_final =
            answer.rfind("HTTP/1.1 200", 0) == 0 || answer.rfind("HTTP/1.1 503", 0) == 0;
        EXPECT_TRUE(is_final) << "a caller that waits is served or refused: " << answer;
    }
    std::this_thread::sleep_for(settling_time);
    EXPECT_EQ(run_count("left-"), 0);
    EXPECT_GT(run_count("waits-"), 0);
}

} // namespace
