// Requests that crash the backend servers that run them, at gateways on a simulated platform.
#include <gtest/gtest.h>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr const char* crashing_target = "/look/crash";
constexpr milliseconds recovery_timeout{5000};

/// Two gateways in front of two plain servers, which start again after a crash.
class crashing_requests : public ::testing::Test {
protected:
    void SetUp() override {
        for (std::size_t i = 0; i < world.plain_servers.size(); ++i) {
            platform_server& server = *world.plain_servers[i];
            const std::string zone = i == 0 ? "zone-a" : "zone-b";
            server.set_crash_target(crashing_target,
                                    [this, &server, zone](const std::string& previous_id) {
                                        world.store.remove("servers", previous_id);
                                        world.put_server_row(server, "desk", zone);
                                    });
            world.put_server_row(server, "desk", zone);
        }
        ASSERT_TRUE(world.start());
    }

    http_response look(std::size_t gateway, const std::string& target) {
        return world.call(gateway, "GET", target, {key_header});
    }

    /// Waits until each gateway is served by the server of its zone.
    bool wait_for_servers() {
        return wait_until(
            [&] {
                for (std::size_t i = 0; i < world.plain_servers.size(); ++i) {
                    const auto answer = look(i, "/look/1");
                    const std::string expected = "seal-of-" + world.plain_servers[i]->id();
                    if (find_header(answer.headers, "X-Citronseam-Response-Seal") != expected) {
                        return false;
                    }
                }
                return true;
            },
            recovery_timeout);
    }

    int crash_count() const {
        int total = 0;
        for (const auto& server : world.plain_servers) {
            total += server->crash_count();
        }
        return total;
    }

    platform_world world;
    const http_header key_header{"Authorization", std::string("Token ") + platform_world::api_key};
};

// Guards against BUDGET: a request that crashes its servers is sent on by every gateway, each time
// that its caller sends it again.
TEST_F(crashing_requests, request_that_crashed_three_servers_is_refused_by_all_gateways) {
    constexpr int crashes_until_refusal = 3;
    constexpr std::size_t caller_attempts = 6;
    http_response last;
    for (std::size_t i = 0; i < caller_attempts; ++i) {
        ASSERT_TRUE(wait_for_servers()) << "after " << crash_count() << " crashes";
        last = look(i % world.gateway_count(), crashing_target);
    }
    EXPECT_EQ(crash_count(), crashes_until_refusal);
    EXPECT_EQ(last.outcome.status, 503);
    EXPECT_NE(find_header(last.headers, "Retry-After"), "");
    ASSERT_TRUE(wait_for_servers()) << "other requests are served";
}

} // namespace
