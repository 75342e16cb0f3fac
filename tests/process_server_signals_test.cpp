// What backend servers say of themselves in their answers, at gateways on a simulated platform.
#include <gtest/gtest.h>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr milliseconds news_timeout{5000};

/// Two gateways in front of two plain servers.
class server_signals : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(world.start()); }

    http_response look(std::size_t gateway = 0) {
        return world.call(gateway, "GET", "/look/1", {key_header});
    }

    /// Sends requests through the first gateway until a server gets one.
    bool wait_for_arrival(const platform_server& server) {
        const int before = server.arrival_count();
        return wait_until(
            [&] {
                look();
                return server.arrival_count() > before;
            },
            news_timeout);
    }

    /// Sends requests through the first gateway until one is answered with a status.
    bool wait_for_status(int status) {
        return wait_until([&] { return look().outcome.status == status; }, news_timeout);
    }

    /// Sends requests through the first gateway.
    /// @return number of successes
    int send_requests(int count) {
        int served = 0;
        for (int i = 0; i < count; ++i) {
            served += look().outcome.status == 200 ? 1 : 0;
        }
        return served;
    }

    platform_world world;
    platform_server& near{*world.plain_servers[0]}; ///< in the zone of the first gateway
    platform_server& far{*world.plain_servers[1]};
    const http_header key_header{"Authorization", std::string("Token ") + platform_world::api_key};
};

// Guards against DRAIN: a server that says in its answers that it leaves gets requests until its
// entry says so too.
TEST_F(server_signals, server_that_says_it_leaves_gets_no_new_requests) {
    constexpr int request_count = 30;
    ASSERT_TRUE(wait_for_arrival(near));
    near.is_leaving = true;
    ASSERT_TRUE(wait_for_arrival(near));
    near.is_leaving = false;
    const int before = near.arrival_count();
    EXPECT_EQ(send_requests(request_count), request_count) << "the other server takes them";
    EXPECT_EQ(near.arrival_count(), before);
}

// Guards against DRAIN: a gateway forgets that a server leaves when its entry expires and comes
// back, as after an outage of the store.
TEST_F(server_signals, server_that_leaves_is_known_after_its_entry_comes_back) {
    constexpr int request_count = 30;
    near.is_leaving = true;
    ASSERT_TRUE(wait_for_arrival(near));
    near.is_leaving = false;
    const int before = near.arrival_count();
    // The gateway reads rows in the order of their writing, so it knows the first write of a pair
    // once it shows that it knows the second.
    world.store.remove("servers", near.id());
    world.put_server_row(far, "desk", "zone-b", "draining");
    ASSERT_TRUE(wait_for_status(503));
    world.put_server_row(near, "desk", "zone-a");
    world.put_server_row(far, "desk", "zone-b");
    ASSERT_TRUE(wait_for_status(200));
    EXPECT_EQ(send_requests(request_count), request_count);
    EXPECT_EQ(near.arrival_count(), before);
    nlohmann::json entry = nlohmann::json::parse(world.store.value("servers", near.id()));
    entry["born"] = 1;
    world.store.put("servers", near.id(), entry.dump());
    EXPECT_TRUE(wait_for_arrival(near)) << "it has started again";
}

// Guards against BUDGET: a server that turns requests away and names a time gets more of them
// before it has passed.
TEST_F(server_signals, server_that_names_a_time_gets_nothing_until_it_has_passed) {
    constexpr double pause_s = 1.5;
    constexpr milliseconds pause{1400}; ///< counted from a moment a little later
    ASSERT_TRUE(wait_for_arrival(near));
    near.retry_after_s = pause_s;
    near.is_overloaded = true;
    ASSERT_TRUE(wait_for_arrival(near));
    near.is_overloaded = false;
    const int before = near.arrival_count();
    const auto end = std::chrono::steady_clock::now() + pause;
    while (std::chrono::steady_clock::now() < end) {
        EXPECT_EQ(look().outcome.status, 200) << "the other server takes it";
    }
    EXPECT_EQ(near.arrival_count(), before);
    EXPECT_TRUE(wait_for_arrival(near)) << "the time has passed";
}

// Guards against callers that are told to come back before any server takes requests again.
TEST_F(server_signals, request_is_refused_at_once_while_all_servers_want_none) {
    constexpr double pause_s = 5;
    constexpr double min_retry_after_s = 1; ///< longer delays are cut to this
    for (platform_server* server : {&near, &far}) {
        server->retry_after_s = pause_s;
        server->is_overloaded = true;
    }
    ASSERT_TRUE(wait_until(
        [&] {
            look();
            return near.arrival_count() > 0 && far.arrival_count() > 0;
        },
        news_timeout));
    const int before = near.arrival_count() + far.arrival_count();
    const auto sent_at = std::chrono::steady_clock::now();
    const http_response answer = look();
    EXPECT_LT(std::chrono::steady_clock::now() - sent_at, milliseconds(500));
    EXPECT_EQ(answer.outcome.status, 503);
    const std::string retry_after = find_header(answer.headers, "Retry-After");
    ASSERT_NE(retry_after, "");
    EXPECT_GE(std::stod(retry_after), min_retry_after_s);
    EXPECT_EQ(near.arrival_count() + far.arrival_count(), before);
}

} // namespace
