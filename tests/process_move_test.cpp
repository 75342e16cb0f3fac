// Streams that a gateway moves from a server that could have finished them.
#include <future>

#include <gtest/gtest.h>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

/// Longer than the silence after which a gateway takes a stream for stalled.
constexpr int silence_ms = 1300;
/// A response may arrive before the lines that its gateway logged earlier.
constexpr milliseconds line_timeout{3000};

class stream_move : public ::testing::Test {
protected:
    void SetUp() override {
        ASSERT_TRUE(world.start()) << world.gateway(0).output() << world.gateway(1).output();
    }

    /// Starts a stream that is expected to be long, and waits until the first engine runs it.
    std::future<http_response> start_stream() {
        auto stream = std::async(std::launch::async, [this] {
            return world.call(0, "POST", "/draft/1",
                              {{"Authorization", std::string("Token ") + platform_world::api_key},
                               {"X-Citronseam-Token-Usage", "10,400"},
                               {"X-Citronseam-Length-Hint", "400"}});
        });
        EXPECT_TRUE(wait_until([this] { return !world.engines[0]->runs_per_attempt().empty(); },
                               milliseconds(1000)));
        return stream;
    }

    static std::string make_events(int first, int last, const std::string& server) {
        std::string text;
        for (int i = first; i <= last; ++i) {
            text += "id: " + std::to_string(i) + "\ndata: " + server + "\n\n";
        }
        return text;
    }

    /// Expects the whole stream, of which the first engine sent every event.
    void expect_first_engine_finished(const http_response& stream) {
        EXPECT_TRUE(stream.outcome.is_complete) << world.gateway(0).output();
        EXPECT_EQ(stream.body, make_events(1, platform_server::events_per_stream, "engine-zone-a"))
            << world.gateway(0).output();
    }

    platform_world world;
};

// Guards against cutting a stream whose engine is due to load weights, when the next one refuses.
TEST_F(stream_move, stream_at_a_loading_engine_is_finished_when_the_other_engine_refuses) {
    world.engines[0]->event_interval_ms = 150;
    world.engines[1]->is_overloaded = true;
    auto stream = start_stream();
    world.engines[0]->is_executing_order = true;
    expect_first_engine_finished(stream.get());
    EXPECT_NE(world.gateway(0).wait_for_line("event=request_moved", line_timeout), "")
        << "the other engine was asked";
}

// Guards against ending a stream for its engine's silence, when the next engine refuses.
TEST_F(stream_move, stream_at_a_silent_engine_is_finished_when_the_other_engine_refuses) {
    world.engines[0]->event_interval_ms = silence_ms;
    world.engines[1]->is_overloaded = true;
    auto stream = start_stream();
    world.engines[0]->event_interval_ms = 30;
    expect_first_engine_finished(stream.get());
    EXPECT_NE(world.gateway(0).wait_for_line("event=request_moved", line_timeout), "")
        << "the other engine was asked";
}

// Guards against ending a stream for its engine's silence, when there is no other engine.
TEST_F(stream_move, stream_at_a_silent_engine_is_finished_when_there_is_no_other_engine) {
    world.put_server_row(*world.engines[1], "drafts", "zone-b", "draining");
    ASSERT_NE(world.gateway(0).wait_for_line("draining=1", milliseconds(3000)), "");
    world.engines[0]->event_interval_ms = silence_ms;
    auto stream = start_stream();
    world.engines[0]->event_interval_ms = 30;
    expect_first_engine_finished(stream.get());
}

// Guards against a stream that stays at a loading engine, or that joins events of two runs wrongly.
TEST_F(stream_move, stream_at_a_loading_engine_goes_on_at_another_one_with_each_event_once) {
    world.engines[0]->event_interval_ms = 150;
    world.engines[1]->queue_delay_ms = 200;
    auto stream = start_stream();
    world.engines[0]->is_executing_order = true;
    const http_response response = stream.get();
    EXPECT_TRUE(response.outcome.is_complete) << world.gateway(0).output();
    bool is_joined = false;
    for (int last = 0; last < platform_server::events_per_stream; ++last) {
        is_joined = is_joined ||
                    response.body == make_events(1, last, "engine-zone-a") +
                                         make_events(last + 1, platform_server::events_per_stream,
                                                     "engine-zone-b");
    }
    EXPECT_TRUE(is_joined) << response.body << world.gateway(0).output();
    EXPECT_NE(world.gateway(0).wait_for_line("goes_on=second", line_timeout), "");
}

// Guards against holding a stream's events while another engine lets the stream wait.
TEST_F(stream_move, stream_at_a_loading_engine_is_not_held_for_another_one_that_lets_it_wait) {
    world.engines[0]->event_interval_ms = 150;
    world.engines[1]->queue_delay_ms = 1500;
    auto stream = start_stream();
    world.engines[0]->is_executing_order = true;
    expect_first_engine_finished(stream.get());
    EXPECT_NE(world.gateway(0).wait_for_line("goes_on=first", line_timeout), "");
    EXPECT_TRUE(world.engines[1]->runs_per_attempt().empty()) << "the second run is cancelled";
}

// Guards against replacing a server's own failure by another one when no other server answers.
TEST_F(stream_move, failure_of_a_server_is_delivered_when_the_other_server_refuses) {
    world.plain_servers[0]->failures_to_answer = 1;
    world.plain_servers[1]->is_overloaded = true;
    const auto look = world.call(
        0, "GET", "/look/1", {{"Authorization", std::string("Token ") + platform_world::api_key}});
    EXPECT_EQ(look.outcome.status, 500) << world.gateway(0).output();
    EXPECT_EQ(look.body, "failed at desk-zone-a");
    EXPECT_EQ(find_header(look.headers, "X-Citronseam-Response-Seal"), "seal-of-desk-zone-a");
}

} // namespace
