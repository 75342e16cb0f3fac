// Requests whose route or workspace is restricted to regions.
#include <future>

#include <gtest/gtest.h>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;
using nlohmann::json;

constexpr milliseconds propagation_time{3000};

/// One zone in each of two regions.
class allowed_regions : public ::testing::Test {
protected:
    allowed_regions() { world.separate_regions(); }

    void SetUp() override {
        ASSERT_TRUE(world.start()) << world.gateway(0).output() << world.gateway(1).output();
    }

    /// Restricts a route or a workspace and waits until requests at the first gateway follow it.
    /// The line configuration_in_force comes earlier, when the control thread has read it.
    /// @param list `routes` or `tenants`
    void restrict(const std::string& list, const std::string& name, const json& regions) {
        world.edit_configuration([&](json& configuration) {
            for (json& item : configuration.at(list)) {
                if (item.at("name") == name) {
                    item["allowed_regions"] = regions;
                }
            }
        });
        const auto version =
            json::parse(world.store.value("op", "config")).at("version").get<int>();
        ASSERT_NE(world.gateway(0).wait_for_line("event=regions_in_force version=" +
                                                     std::to_string(version),
                                                 propagation_time),
                  "");
    }

    /// Starts a request that waits at the first engine until it is given up on, which it is 1.2 s
    /// later, and waits until the engine was asked.
    std::future<http_response> start_waiting_stream() {
        world.engines[0]->queue_delay_ms = 5000;
        auto response = std::async(std::launch::async, [this] { return call_for_stream(); });
        EXPECT_TRUE(
            wait_until([this] { return world.engines[0]->arrival_count() > 0; }, propagation_time));
        return response;
    }

    http_response call_for_stream() {
        return world.call(0, "POST", "/draft/1",
                          {{"Authorization", std::string("Token ") + platform_world::api_key}});
    }

    platform_world world;
};

TEST_F(allowed_regions, request_reaches_only_servers_of_the_regions_of_its_route) {
    ASSERT_NO_FATAL_FAILURE(restrict("routes", "look", {"region-b"}));
    for (int i = 0; i < 5; ++i) {
        const auto response =
            world.call(0, "GET", "/look/1",
                       {{"Authorization", std::string("Token ") + platform_world::api_key}});
        EXPECT_EQ(response.outcome.status, 200);
    }
    EXPECT_TRUE(world.plain_servers[0]->runs_per_attempt().empty());
    EXPECT_EQ(world.plain_servers[1]->runs_per_attempt().size(), 5U);
}

// Guards against a second attempt that follows the regions of an older configuration: one that the
// route had when the request arrived.
TEST_F(allowed_regions, later_attempt_follows_the_newest_regions_of_the_route) {
    auto response = start_waiting_stream();
    ASSERT_NO_FATAL_FAILURE(restrict("routes", "draft", {"region-a"}));
    EXPECT_NE(response.get().outcome.status, 200) << "no other engine is in the allowed region";
    EXPECT_TRUE(world.engines[1]->runs_per_attempt().empty()) << world.gateway(0).output();
}

// Guards against the same with the regions of the caller's workspace.
TEST_F(allowed_regions, later_attempt_follows_the_newest_regions_of_the_workspace) {
    auto response = start_waiting_stream();
    ASSERT_NO_FATAL_FAILURE(restrict("tenants", "team", {"region-a"}));
    EXPECT_NE(response.get().outcome.status, 200) << "no other engine is in the allowed region";
    EXPECT_TRUE(world.engines[1]->runs_per_attempt().empty()) << world.gateway(0).output();
}

// Guards against a resumed stream that follows the regions of an older configuration.
TEST_F(allowed_regions, resumed_stream_follows_the_newest_regions_of_the_route) {
    world.engines[0]->streams_to_truncate = 1;
    world.engines[0]->event_interval_ms = 400;
    auto response = std::async(std::launch::async, [this] { return call_for_stream(); });
    ASSERT_NO_FATAL_FAILURE(restrict("routes", "draft", {"region-a"}));
    // The first engine may take the stream again, if the limits allow.
    response.get();
    EXPECT_TRUE(world.engines[1]->runs_per_attempt().empty()) << world.gateway(0).output();
}

// Guards against a further attempt on a route that a newer configuration has dropped.
TEST_F(allowed_regions, later_attempt_is_not_made_on_a_removed_route) {
    auto response = start_waiting_stream();
    world.edit_configuration([](json& configuration) { configuration.at("routes").erase(0); });
    ASSERT_NE(world.gateway(0).wait_for_line("event=regions_in_force version=2", propagation_time),
              "");
    EXPECT_NE(response.get().outcome.status, 200);
    EXPECT_TRUE(world.engines[1]->runs_per_attempt().empty()) << world.gateway(0).output();
}

// Guards against an attempt that follows a rule which a newer one with a longer prefix replaced.
TEST_F(allowed_regions, later_attempt_follows_a_newer_route_with_a_longer_prefix) {
    auto response = start_waiting_stream();
    world.edit_configuration([](json& configuration) {
        json longer = configuration.at("routes").at(0);
        longer["name"] = "longer";
        longer["prefix"] = "/draft/1";
        longer["allowed_regions"] = {"region-a"};
        configuration.at("routes").push_back(longer);
    });
    ASSERT_NE(world.gateway(0).wait_for_line("event=regions_in_force version=2", propagation_time),
              "");
    EXPECT_NE(response.get().outcome.status, 200) << "no other engine is in the allowed region";
    EXPECT_TRUE(world.engines[1]->runs_per_attempt().empty()) << world.gateway(0).output();
}

} // namespace
