// Gateways and sidecars as processes on a stand-in of the users' platform.
#include <csignal>

#include <gtest/gtest.h>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

const http_header key_header{"Authorization", std::string("Token ") + platform_world::key};

class platform : public ::testing::Test {
protected:
    void SetUp() override {
        ASSERT_TRUE(world.start()) << world.gateway(0).output() << world.gateway(1).output();
    }

    static std::string events(int first, int last, const std::string& server) {
        std::string text;
        for (int i = first; i <= last; ++i) {
            text += "id: " + std::to_string(i) + "\ndata: " + server + "\n\n";
        }
        return text;
    }

    int desk_runs() const {
        int total = 0;
        for (const auto& desk : world.desks) {
            for (const auto& [attempt, count] : desk->runs()) {
                total += count;
            }
        }
        return total;
    }

    platform_world world;
};

TEST_F(platform, a_stream_and_a_booking_are_served_with_what_the_server_must_see) {
    const auto stream = world.call(0, "POST", "/draft/1", {key_header});
    EXPECT_EQ(stream.outcome.status, 200);
    EXPECT_EQ(stream.body, events(1, platform_server::event_count, "engine-zone-a"))
        << "the own zone's engine, each event once";
    EXPECT_EQ(find_header(stream.headers, "X-Citronseam-Response-Seal"), "seal-of-engine-zone-a");
    const auto seen = world.engines[0]->last_headers();
    EXPECT_EQ(find_header(seen, "X-Citronseam-Tenant"), "team");
    EXPECT_EQ(find_header(seen, "X-Citronseam-Expect-Instance"), "engine-zone-a");
    EXPECT_EQ(find_header(seen, "Authorization"), "");
    const auto booking = world.call(1, "POST", "/book/7?b=2&a=1", {key_header});
    EXPECT_EQ(booking.outcome.status, 200);
    EXPECT_EQ(booking.body, "booked /book/7?b=2&a=1");
    EXPECT_EQ(world.call(0, "POST", "/book/7").outcome.status, 401);
    EXPECT_EQ(world.call(0, "POST", "/none/", {key_header}).outcome.status, 404);
    EXPECT_TRUE(wait_until(
        [&] {
            const auto answer = nlohmann::json::parse(world.resolve(0, "zone-a").body);
            return answer.at("addresses").size() == 2;
        },
        milliseconds(3000)))
        << "the gateways find each other";
}

TEST_F(platform, a_stream_that_breaks_goes_on_at_another_engine) {
    world.engines[0]->cut_streams = 1;
    const auto stream = world.call(0, "POST", "/draft/1", {key_header});
    EXPECT_TRUE(stream.outcome.is_complete);
    EXPECT_EQ(stream.body, events(1, 3, "engine-zone-a") +
                               events(4, platform_server::event_count, "engine-zone-b"));
    EXPECT_EQ(find_header(stream.headers, "X-Citronseam-Response-Seal"), "seal-of-engine-zone-a");
    EXPECT_EQ(find_header(world.engines[1]->last_headers(), "Last-Event-Id"), "3");
}

TEST_F(platform, a_booking_whose_answer_is_lost_runs_once_and_is_not_called_refused) {
    for (const auto& desk : world.desks) {
        desk->lost_answers = 1;
    }
    const auto booking = world.call(0, "POST", "/book/7", {key_header});
    EXPECT_EQ(booking.outcome.status, 502);
    EXPECT_EQ(desk_runs(), 1);
}

TEST_F(platform, a_booking_that_was_refused_is_told_when_to_come_back) {
    for (const auto& desk : world.desks) {
        desk->is_full = true;
    }
    const auto booking = world.call(0, "POST", "/book/7", {key_header});
    EXPECT_EQ(booking.outcome.status, 503);
    EXPECT_NE(find_header(booking.headers, "Retry-After"), "");
    EXPECT_EQ(desk_runs(), 0);
}

TEST_F(platform, named_weights_reach_all_engines_and_leave_the_origin_about_once) {
    for (std::size_t i = 0; i < world.engines.size(); ++i) {
        ASSERT_NE(world.sidecar(i).wait_for_line("event=staged_pieces_adopted", milliseconds(3000)),
                  "");
    }
    EXPECT_EQ(world.origin.pieces_sent, 0) << "the first version lies at the engines";
    world.name_weights(2);
    EXPECT_TRUE(wait_until(
        [&] { return world.engines[0]->version() == 2 && world.engines[1]->version() == 2; },
        milliseconds(6000)));
    EXPECT_LE(world.origin.pieces_sent, 1.25 * weight_origin::piece_count)
        << world.sidecar(0).output();
}

TEST_F(platform, an_evacuated_zone_gets_nothing_new_and_comes_back) {
    world.store.put("op", "evacuate/zone-a", "{}");
    EXPECT_TRUE(wait_until(
        [&] {
            return world.call(0, "POST", "/draft/1", {key_header}).body.find("zone-b") !=
                   std::string::npos;
        },
        milliseconds(2000)));
    const auto before = world.engines[0]->runs().size();
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(world.call(0, "POST", "/draft/1", {key_header}).outcome.status, 200);
    }
    EXPECT_EQ(world.engines[0]->runs().size(), before);
    world.store.remove("op", "evacuate/zone-a");
    EXPECT_TRUE(wait_until(
        [&] {
            return world.call(0, "POST", "/draft/1", {key_header}).body.find("zone-a") !=
                   std::string::npos;
        },
        milliseconds(2000)));
}

TEST_F(platform, requests_are_served_while_the_store_is_down_and_changes_come_after_it) {
    world.store.is_down = true;
    std::this_thread::sleep_for(milliseconds(800));
    EXPECT_EQ(world.call(0, "POST", "/book/1", {key_header}).outcome.status, 200);
    world.configure(2, true);
    world.store.is_down = false;
    world.store.has_history = false;
    EXPECT_TRUE(wait_until(
        [&] { return world.call(1, "POST", "/later/1", {key_header}).outcome.status == 200; },
        milliseconds(3000)))
        << "the history was dropped, so the table is read again";
}

TEST_F(platform, a_server_that_drains_gets_nothing_new) {
    world.list_server(*world.engines[0], "drafts", "zone-a", "draining");
    EXPECT_TRUE(wait_until(
        [&] {
            return world.call(0, "POST", "/draft/1", {key_header}).body.find("zone-b") !=
                   std::string::npos;
        },
        milliseconds(2000)));
}

TEST_F(platform, signals_reload_the_settings_and_end_the_process_in_order) {
    world.gateway(0).send_signal(SIGHUP);
    EXPECT_NE(world.gateway(0).wait_for_line("event=settings_reloaded", milliseconds(2000)), "");
    EXPECT_EQ(world.call(0, "POST", "/book/1", {key_header}).outcome.status, 200);
    world.gateway(0).send_signal(SIGTERM);
    EXPECT_TRUE(wait_until([&] { return world.readiness(0) == 503; }, milliseconds(1000)));
    EXPECT_EQ(world.call(0, "POST", "/book/1", {key_header}).outcome.status, 200)
        << "callers that have not heard of it yet are served";
    EXPECT_EQ(world.gateway(0).wait(milliseconds(4000)), 0);
    world.sidecar(0).send_signal(SIGTERM);
    EXPECT_EQ(world.sidecar(0).wait(milliseconds(3000)), 0);
}

} // namespace
