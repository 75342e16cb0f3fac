// A gateway whose callers leave many connections open, on a simulated platform.
#include <cerrno>
#include <chrono>
#include <csignal>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <gtest/gtest.h>

#include <asio.hpp>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;
using asio::ip::tcp;

/// Open files of a gateway: enough for its work, too few for the callers' connections.
constexpr rlim_t gateway_descriptors = 200;
constexpr int caller_count = 400;
/// Callers give a new connection as long.
constexpr seconds patience{1};
constexpr milliseconds start_time{5000};
/// Callers of a gateway that is held back: more than it has files for, fewer than wait to be
/// accepted.
constexpr int held_callers = 50;
constexpr seconds held_time{2};
/// Timeout of the route, from when the gateway goes on.
constexpr milliseconds route_timeout{1500};
constexpr milliseconds timeout_slack{250};

/// Bounds the open files of the processes that start in its lifetime.
class descriptor_limit {
public:
    explicit descriptor_limit(rlim_t limit) {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit lowered{limit, before_.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    rlimit before_{};
};

class crowded_gateway : public ::testing::Test {
protected:
    void SetUp() override {
        const descriptor_limit limit(gateway_descriptors);
        ASSERT_TRUE(world.start()) << world.gateway(0).output();
        ASSERT_TRUE(wait_until(
            [this] { return world.call(0, "GET", "/look/1", {key_header}).outcome.status == 200; },
            start_time));
    }

    /// Connects and sends one request.
    void send(tcp::socket& socket, const std::string& path, const std::string& attempt) {
        socket.connect({asio::ip::make_address("127.0.0.1"), world.http_port(0)});
        const timeval limit{patience.count(), 0};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        asio::write(socket, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
                                         key_header.name + ": " + key_header.value +
                                         "\r\nX-Citronseam-Attempt-Id: " + attempt +
                                         "\r\nX-Citronseam-Deadline-Ms: 5000\r\n\r\n"));
    }

    /// @return what the gateway sends within the caller's patience
    static std::string receive(tcp::socket& socket) {
        std::string answer(mebibyte / 64, '\0');
        const auto size = ::recv(socket.native_handle(), answer.data(), answer.size(), 0);
        answer.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return answer;
    }

    std::string ask(tcp::socket& socket, const std::string& path, int number) {
        send(socket, path, "crowd-" + std::to_string(number));
        return receive(socket);
    }

    /// @return attempts that servers ran whose identifier begins so
    std::set<std::string> attempts_run(const std::string& prefix) const {
        std::set<std::string> attempts;
        for (const auto& server : world.plain_servers) {
            for (const auto& [attempt, runs] : server->runs_per_attempt()) {
                if (attempt.starts_with(prefix) && runs > 0) {
                    attempts.insert(attempt);
                }
            }
        }
        return attempts;
    }

    platform_world world;
    asio::io_context loop;
    const http_header key_header{"Authorization", std::string("Token ") + platform_world::api_key};
};

// Guards against a gateway without open files left, which accepts nobody and spends its processor
// time on trying to: callers kept a connection for each refusal until the idle timeout.
TEST_F(crowded_gateway, idle_connections_do_not_keep_new_callers_out) {
    std::vector<tcp::socket> kept;
    int served = 0;
    for (int i = 0; i < caller_count; ++i) {
        served += ask(kept.emplace_back(loop), "/look/1", i).starts_with("HTTP/1.1 200") ? 1 : 0;
        ASSERT_GE(served, i) << "a caller that came after " << i << " others has no answer";
    }
    EXPECT_GE(served, caller_count - 1);
}

// Guards against a second wave of connections: callers repeat a refused request on a new one.
TEST_F(crowded_gateway, refusals_announce_the_close_of_their_connections) {
    world.edit_configuration([](nlohmann::json& configuration) {
        nlohmann::json spare = configuration["routes"][2];
        spare["name"] = "spare";
        spare["prefix"] = "/spare/";
        spare["service"] = "spare";
        configuration["routes"].push_back(spare);
        configuration["services"].push_back({{"name", "spare"}});
    });
    ASSERT_TRUE(wait_until(
        [this] { return world.call(0, "GET", "/spare/1", {key_header}).outcome.status == 503; },
        start_time));
    std::vector<tcp::socket> kept;
    int closing = 0;
    for (int i = 0; i < caller_count; ++i) {
        const std::string answer = ask(kept.emplace_back(loop), "/spare/1", i);
        ASSERT_TRUE(answer.starts_with("HTTP/1.1 503")) << i << ": " << answer;
        closing += answer.find("Connection: close") == std::string::npos ? 0 : 1;
    }
    EXPECT_GT(closing, caller_count / 2);
    EXPECT_LT(closing, caller_count) << "the first callers are few and keep their connections";
}

// Guards against requests that wait in the sockets of a gateway without open files left: they were
// read after their callers had left, and those of waiting callers in no time.
TEST_F(crowded_gateway, requests_of_a_held_gateway_are_answered_or_never_sent_on) {
    world.gateway(0).send_signal(SIGSTOP);
    std::vector<tcp::socket> waiting;
    for (int i = 0; i < held_callers; ++i) {
        tcp::socket leaving(loop);
        send(leaving, "/look/1", "left-" + std::to_string(i));
        leaving.close();
        send(waiting.emplace_back(loop), "/look/1", "waits-" + std::to_string(i));
    }
    std::this_thread::sleep_for(held_time);
    const auto continued_at = std::chrono::steady_clock::now();
    world.gateway(0).send_signal(SIGCONT);
    std::size_t answered = 0;
    for (auto& socket : waiting) {
        std::string answer(1, '\0');
        const auto size = ::recv(socket.native_handle(), answer.data(), answer.size(), 0);
        const bool is_silent = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        EXPECT_FALSE(is_silent) << "neither answered nor closed";
        answered += size > 0 ? 1 : 0;
    }
    EXPECT_LE(std::chrono::steady_clock::now() - continued_at, route_timeout + timeout_slack);
    EXPECT_TRUE(attempts_run("left-").empty());
    EXPECT_FALSE(attempts_run("waits-").empty());
    EXPECT_LE(attempts_run("waits-").size(), answered) << "what is closed was not read";
}

} // namespace
