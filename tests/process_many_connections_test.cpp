// A gateway whose callers leave many connections open, on a simulated platform.
#include <string>
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
constexpr rlim_t gateway_descriptors = 300;
constexpr int caller_count = 400;
/// Callers give a new connection as long.
constexpr seconds patience{1};
constexpr milliseconds start_time{5000};

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
    /// @return what the gateway sent within the caller's patience
    std::string ask(tcp::socket& socket, const std::string& path, int number) {
        socket.connect({asio::ip::make_address("127.0.0.1"), world.http_port(0)});
        const timeval limit{patience.count(), 0};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        asio::write(socket,
                    asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
                                 key_header.name + ": " + key_header.value +
                                 "\r\nX-Citronseam-Attempt-Id: crowd-" + std::to_string(number) +
                                 "\r\nX-Citronseam-Deadline-Ms: 1400\r\n\r\n"));
        std::string answer(mebibyte / 64, '\0');
        const auto size = ::recv(socket.native_handle(), answer.data(), answer.size(), 0);
        answer.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return answer;
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

} // namespace
