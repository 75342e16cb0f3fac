// Gateway and sidecar processes against a simulated platform.
#include <csignal>

#include <gtest/gtest.h>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr milliseconds propagation_time{8000};

const http_header key_header{"Authorization", std::string("Token ") + platform_world::api_key};

class platform : public ::testing::Test {
protected:
    void SetUp() override {
        ASSERT_TRUE(world.start()) << world.gateway(0).output() << world.gateway(1).output();
    }

    static std::string make_events(int first, int last, const std::string& server) {
        std::string text;
        for (int i = first; i <= last; ++i) {
            text += "id: " + std::to_string(i) + "\ndata: " + server + "\n\n";
        }
        return text;
    }

    int booking_runs() const {
        int total = 0;
        for (const auto& desk : world.plain_servers) {
            for (const auto& [attempt, count] : desk->runs_per_attempt()) {
                total += count;
            }
        }
        return total;
    }

    platform_world world;
};

TEST_F(platform, stream_and_booking_are_served_with_the_required_headers) {
    const auto stream = world.call(0, "POST", "/draft/1", {key_header});
    EXPECT_EQ(stream.outcome.status, 200);
    EXPECT_EQ(stream.body, make_events(1, platform_server::events_per_stream, "engine-zone-a"))
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
        << "the gateways discover each other";
}

// Guards against UNASKED: an engine that gets only the first line of a list in two field lines.
TEST_F(platform, list_in_two_field_lines_reaches_the_engine_whole) {
    constexpr const char* name = "X-Citronseam-Prompt-Prefix";
    const auto stream = world.call(0, "POST", "/draft/1",
                                   {key_header,
                                    {name, "5c1e07a2:800,91bd3f06:410"},
                                    {"X-Other", "1"},
                                    {name, "e4402b7d:250"}});
    EXPECT_EQ(stream.outcome.status, 200);
    std::string list;
    for (const http_header& header : world.engines[0]->last_headers()) {
        if (header.name == name) {
            list += header.value + ",";
        }
    }
    EXPECT_EQ(list, "5c1e07a2:800,91bd3f06:410,e4402b7d:250,");
}

TEST_F(platform, broken_stream_resumes_at_another_engine) {
    world.engines[0]->streams_to_truncate = 1;
    const auto stream = world.call(0, "POST", "/draft/1", {key_header});
    EXPECT_TRUE(stream.outcome.is_complete);
    EXPECT_EQ(stream.body, make_events(1, 3, "engine-zone-a") +
                               make_events(4, platform_server::events_per_stream, "engine-zone-b"));
    EXPECT_EQ(find_header(stream.headers, "X-Citronseam-Response-Seal"), "seal-of-engine-zone-a");
    EXPECT_EQ(find_header(world.engines[1]->last_headers(), "Last-Event-Id"), "3");
}

TEST_F(platform, booking_whose_answer_is_lost_runs_once_and_is_not_refused) {
    for (const auto& desk : world.plain_servers) {
        desk->responses_to_drop = 1;
    }
    const auto booking = world.call(0, "POST", "/book/7", {key_header});
    EXPECT_EQ(booking.outcome.status, 502);
    EXPECT_EQ(booking_runs(), 1);
}

// Guards against BUDGET: libcurl sends a request again on its own when a kept connection ends.
TEST_F(platform, request_is_sent_once_to_each_server_when_kept_connections_end) {
    for (std::size_t i = 0; i < world.gateway_count(); ++i) {
        ASSERT_EQ(world.call(i, "GET", "/look/1", {key_header}).outcome.status, 200);
    }
    for (const auto& desk : world.plain_servers) {
        desk->responses_to_drop = 2;
    }
    EXPECT_EQ(world.call(0, "GET", "/look/2", {key_header}).outcome.status, 502);
    for (const auto& desk : world.plain_servers) {
        for (const auto& [attempt, runs] : desk->runs_per_attempt()) {
            EXPECT_EQ(runs, 1) << attempt << " at " << desk->id();
        }
    }
}

TEST_F(platform, refused_booking_gets_retry_after) {
    for (const auto& desk : world.plain_servers) {
        desk->is_overloaded = true;
    }
    const auto booking = world.call(0, "POST", "/book/7", {key_header});
    EXPECT_EQ(booking.outcome.status, 503);
    EXPECT_NE(find_header(booking.headers, "Retry-After"), "");
    EXPECT_EQ(booking_runs(), 0);
}

TEST_F(platform, announced_weights_reach_all_engines_and_are_downloaded_about_once) {
    for (std::size_t i = 0; i < world.engines.size(); ++i) {
        ASSERT_NE(world.sidecar(i).wait_for_line("event=staged_pieces_adopted", milliseconds(3000)),
                  "");
    }
    EXPECT_EQ(world.origin.pieces_sent, 0) << "the engines hold the first version already";
    world.set_weights_version(2);
    EXPECT_TRUE(wait_until(
        [&] { return world.engines[0]->version() == 2 && world.engines[1]->version() == 2; },
        milliseconds(6000)));
    EXPECT_LE(world.origin.pieces_sent, 1.25 * weight_origin::piece_count)
        << world.sidecar(0).output();
}

TEST_F(platform, evacuated_zone_gets_no_requests_until_it_is_restored) {
    world.store.put("op", "evacuate/zone-a", "{}");
    EXPECT_TRUE(wait_until(
        [&] {
            return world.call(0, "POST", "/draft/1", {key_header}).body.find("zone-b") !=
                   std::string::npos;
        },
        milliseconds(2000)));
    const auto before = world.engines[0]->runs_per_attempt().size();
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(world.call(0, "POST", "/draft/1", {key_header}).outcome.status, 200)
            << world.gateway(0).output();
    }
    EXPECT_EQ(world.engines[0]->runs_per_attempt().size(), before);
    world.store.remove("op", "evacuate/zone-a");
    EXPECT_TRUE(wait_until(
        [&] {
            return world.call(0, "POST", "/draft/1", {key_header}).body.find("zone-a") !=
                   std::string::npos;
        },
        milliseconds(2000)));
}

TEST_F(platform, requests_are_served_during_a_store_outage_and_changes_apply_after_it) {
    world.store.is_down = true;
    std::this_thread::sleep_for(milliseconds(800));
    EXPECT_EQ(world.call(0, "POST", "/book/1", {key_header}).outcome.status, 200);
    world.put_configuration(2, true);
    world.store.is_down = false;
    world.store.has_feed_history = false;
    EXPECT_TRUE(wait_until(
        [&] { return world.call(1, "POST", "/later/1", {key_header}).outcome.status == 200; },
        milliseconds(3000)))
        << "the history was dropped, so the table is read again";
}

// Guards against a gateway that was stopped and then lists a lost gateway of another zone for
// longer than it takes to be in touch again, because it read that one's last heartbeats late.
TEST_F(platform, gateway_that_was_stopped_does_not_list_one_that_was_lost_meanwhile) {
    constexpr milliseconds beats_time{2500}; // several heartbeats wait for the stopped gateway
    constexpr milliseconds contact_time{3000};
    const auto is_second_listed = [this] {
        const std::string body = world.resolve(0, "zone-a").body;
        return body.find(":" + std::to_string(world.http_port(1)) + "\"") != std::string::npos;
    };
    ASSERT_TRUE(wait_until(is_second_listed, propagation_time));
    world.gateway(0).send_signal(SIGSTOP);
    std::this_thread::sleep_for(beats_time);
    // Its connections stay open and silent, as when its machine loses power.
    world.gateway(1).send_signal(SIGSTOP);
    world.gateway(0).send_signal(SIGCONT);
    EXPECT_TRUE(wait_until([&] { return !is_second_listed(); }, contact_time))
        << world.gateway(0).output();
    world.gateway(1).send_signal(SIGCONT);
    EXPECT_TRUE(wait_until(is_second_listed, propagation_time)) << world.gateway(0).output();
}

TEST_F(platform, draining_server_gets_no_new_requests) {
    world.put_server_row(*world.engines[0], "drafts", "zone-a", "draining");
    EXPECT_TRUE(wait_until(
        [&] {
            return world.call(0, "POST", "/draft/1", {key_header}).body.find("zone-b") !=
                   std::string::npos;
        },
        milliseconds(2000)));
}

TEST_F(platform, sighup_reloads_the_settings_and_sigterm_drains_the_process) {
    world.gateway(0).send_signal(SIGHUP);
    EXPECT_NE(world.gateway(0).wait_for_line("event=settings_reloaded", milliseconds(2000)), "");
    EXPECT_EQ(world.call(0, "POST", "/book/1", {key_header}).outcome.status, 200);
    world.gateway(0).send_signal(SIGTERM);
    EXPECT_TRUE(wait_until([&] { return world.readiness(0) == 503; }, milliseconds(1000)));
    EXPECT_EQ(world.call(0, "POST", "/book/1", {key_header}).outcome.status, 200)
        << "callers with cached addresses are still served";
    EXPECT_EQ(world.gateway(0).wait_for_exit(milliseconds(4000)), 0);
    world.sidecar(0).send_signal(SIGTERM);
    EXPECT_EQ(world.sidecar(0).wait_for_exit(milliseconds(3000)), 0);
}

} // namespace
