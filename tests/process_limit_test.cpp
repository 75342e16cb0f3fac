// Limits on requests to a server that all gateways keep together, on a simulated platform.
#include <gtest/gtest.h>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr std::size_t gateways_per_zone = 3;
constexpr double request_limit = 2; ///< requests a second
constexpr milliseconds window{4000};
/// What a server may get in the window: one and a half times its limit, and 5 requests.
constexpr int allowed_requests = 17;
constexpr milliseconds news_delay{500};
constexpr milliseconds request_interval{10};
constexpr milliseconds recovery_timeout{8000};

/// Six gateways in front of two plain servers.
class server_limits : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(world.start()); }

    int look(std::size_t gateway) {
        return world.call(gateway, "GET", "/look/1", {key_header}).outcome.status;
    }

    void set_limit(double requests_per_second) {
        for (const auto& server : world.plain_servers) {
            server->request_limit = requests_per_second;
        }
    }

    /// Sends requests through all gateways in turn.
    void send_requests(milliseconds duration) {
        const auto end = std::chrono::steady_clock::now() + duration;
        for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
            look(i % world.gateway_count());
            std::this_thread::sleep_for(request_interval);
        }
    }

    int run_count(std::size_t server) const {
        int total = 0;
        for (const auto& [attempt, runs] : world.plain_servers[server]->runs_per_attempt()) {
            total += runs;
        }
        return total;
    }

    platform_world world{gateways_per_zone};
    const http_header key_header{"Authorization", std::string("Token ") + platform_world::api_key};
};

// Guards against LIMIT: a server that names a limit gets as many requests as before.
TEST_F(server_limits, server_that_names_a_limit_gets_no_more_from_all_gateways_together) {
    send_requests(milliseconds(500));
    set_limit(request_limit);
    send_requests(news_delay);
    std::vector<int> before;
    for (std::size_t i = 0; i < world.plain_servers.size(); ++i) {
        before.push_back(run_count(i));
    }
    send_requests(window);
    for (std::size_t i = 0; i < world.plain_servers.size(); ++i) {
        EXPECT_LE(run_count(i) - before[i], allowed_requests) << world.plain_servers[i]->id();
        EXPECT_GT(run_count(i) - before[i], 0) << "the limit is no ban";
    }
    set_limit(0);
    for (std::size_t i = 0; i < world.gateway_count(); ++i) {
        EXPECT_TRUE(wait_until(
            [&] {
                constexpr int burst = 10;
                int served = 0;
                for (int j = 0; j < burst; ++j) {
                    served += look(i) == 200 ? 1 : 0;
                }
                return served == burst;
            },
            recovery_timeout))
            << "gateway-" << i << " keeps a limit that is not named any more";
    }
}

} // namespace
