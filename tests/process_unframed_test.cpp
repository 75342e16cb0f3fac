// Answers of backend servers with neither a length nor chunks, at a gateway on a simulated
// platform.
#include <memory>

#include <gtest/gtest.h>

#include "support/platform_world.h"
#include "support/raw_server.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr const char* raw_engine = "raw-engine";
constexpr const char* head = "HTTP/1.1 200 OK\r\nX-Citronseam-Response-Seal: seal-of-raw-engine\r\n"
                             "X-Citronseam-Weight-Versions: 1\r\nConnection: close\r\n\r\n";
constexpr const char* two_events = "id: 1\ndata: raw\n\nid: 2\ndata: raw\n\n";
constexpr milliseconds listing_timeout{5000};

/// A gateway whose zone has one server that sends its answers without length. The other zone has an
/// engine that sends chunks, and no plain server.
class unframed_answers : public ::testing::Test {
protected:
    /// Starts the gateways with an engine that sends these bytes after the head of its answer.
    void start(const std::string& body) { start_with_answer({std::string(head) + body}); }

    /// Starts the gateways with an engine that answers with these bytes.
    void start_with_answer(const raw_answer& answer) {
        engine = std::make_unique<raw_server>([answer](const std::string&) { return answer; });
        world.store.remove("servers", world.engines[0]->id());
        world.put_foreign_server_row(raw_engine, engine->address(), "drafts", 1);
        start_world();
    }

    /// Starts the gateways with a plain server that answers with these bytes.
    void start_desk(const raw_answer& answer) {
        engine = std::make_unique<raw_server>([answer](const std::string&) { return answer; });
        for (const auto& server : world.plain_servers) {
            world.store.remove("servers", server->id());
        }
        world.put_foreign_server_row(raw_engine, engine->address(), "desk");
        start_world();
    }

    void start_world() {
        ASSERT_TRUE(world.start()) << world.gateway(0).output();
        ASSERT_NE(world.gateway(0).wait_for_line(raw_engine, listing_timeout), "");
    }

    http_response book() { return call("POST", "/book/1"); }
    http_response look() { return call("GET", "/look/1"); }

    http_response call(const std::string& method, const std::string& path) {
        return world.call(0, method, path,
                          {{"Authorization", std::string("Token ") + platform_world::api_key}});
    }

    http_response draft(const std::string& path) {
        return world.call(0, "POST", path,
                          {{"Authorization", std::string("Token ") + platform_world::api_key},
                           {"X-Citronseam-Token-Usage", "110,20"}});
    }

    platform_world world;
    std::unique_ptr<raw_server> engine;
};

// Guards against a sound stream that is broken off since it has no length.
TEST_F(unframed_answers, stream_that_ends_with_its_connection_is_whole) {
    start(two_events);
    const auto answer = draft("/draft/1");
    EXPECT_TRUE(answer.outcome.is_complete) << world.gateway(0).output();
    EXPECT_EQ(answer.body, two_events);
    EXPECT_EQ(engine->request_count(), 1);
}

// Guards against MIXED: a stream that ends inside an event is passed on as complete.
TEST_F(unframed_answers, stream_that_ends_inside_an_event_is_resumed_elsewhere) {
    start(std::string(two_events) + "id: 3\nda");
    const auto answer = draft("/draft/1");
    EXPECT_TRUE(answer.outcome.is_complete) << world.gateway(0).output();
    EXPECT_NE(answer.body.find("id: 8\ndata: engine-zone-b"), std::string::npos) << answer.body;
}

// Guards against MIXED: a stream that may not be resumed looks whole although it broke off.
TEST_F(unframed_answers, stream_that_may_not_be_resumed_is_broken_off_inside_an_event) {
    start(std::string(two_events) + "id: 3\nda");
    const auto answer = draft("/draft-once/1");
    EXPECT_FALSE(answer.outcome.is_complete);
    EXPECT_EQ(answer.body, two_events);
}

// Guards against a refusal that counts as a lost answer since its engine ends right after it.
TEST_F(unframed_answers, refusal_holds_although_its_engine_is_gone) {
    start_with_answer({"HTTP/1.1 503 Service Unavailable\r\nX-Citronseam-Not-Executed: 1\r\n"
                       "Connection: close\r\n\r\n"});
    engine->crash_with_next_answer();
    const auto answer = draft("/draft-once/1");
    EXPECT_EQ(answer.outcome.status, 200) << world.gateway(0).output();
    EXPECT_EQ(find_header(answer.headers, "X-Citronseam-Response-Seal"), "seal-of-engine-zone-b");
}

// Guards against MIXED: an engine that crashes before its first event has answered with nothing.
TEST_F(unframed_answers, stream_without_events_is_no_answer) {
    start("");
    const auto answer = draft("/draft/1");
    EXPECT_TRUE(answer.outcome.is_complete) << world.gateway(0).output();
    EXPECT_EQ(find_header(answer.headers, "X-Citronseam-Response-Seal"), "seal-of-engine-zone-b");
}

// Guards against MIXED: the end of an engine looks like the end of its answer.
TEST_F(unframed_answers, stream_whose_engine_is_gone_at_its_end_is_resumed_elsewhere) {
    start(two_events);
    engine->crash_with_next_answer();
    const auto answer = draft("/draft/1");
    EXPECT_TRUE(answer.outcome.is_complete) << world.gateway(0).output();
    EXPECT_NE(answer.body.find("id: 8\ndata: engine-zone-b"), std::string::npos) << answer.body;
    EXPECT_NE(world.gateway(0).wait_for_line("event=backend_server_lost", listing_timeout), "");
}

// Guards against MIXED, as above, where no other engine may go on.
TEST_F(unframed_answers, stream_that_may_not_be_resumed_is_broken_off_with_its_engine) {
    start(two_events);
    engine->crash_with_next_answer();
    const auto answer = draft("/draft-once/1");
    EXPECT_FALSE(answer.outcome.is_complete);
    EXPECT_EQ(answer.body, two_events);
}

// Guards against a sound answer that is refused since it has no length.
TEST_F(unframed_answers, answer_that_ends_with_its_connection_is_delivered) {
    start_desk({std::string(head) + "booked"});
    for (const auto& answer : {book(), look()}) {
        EXPECT_TRUE(answer.outcome.is_complete) << world.gateway(0).output();
        EXPECT_EQ(answer.outcome.status, 200);
        EXPECT_EQ(answer.body, "booked");
    }
}

// Guards against MIXED: an answer whose end its server did not state gets a length from the
// gateway, so that one that was cut off looks whole.
TEST_F(unframed_answers, answer_without_length_is_delivered_without_length) {
    start_desk({std::string(head) + "boo"});
    for (const auto& answer : {book(), look()}) {
        EXPECT_EQ(answer.outcome.framing, body_framing::connection) << world.gateway(0).output();
        EXPECT_EQ(find_header(answer.headers, "Connection"), "close");
        EXPECT_EQ(answer.body, "boo");
    }
}

// Guards against MIXED: an answer that is reset on the way has no end.
TEST_F(unframed_answers, answer_that_is_reset_is_broken) {
    start_desk({std::string(head) + "boo", raw_ending::reset, {}, {}});
    EXPECT_EQ(book().outcome.status, 502) << world.gateway(0).output();
    EXPECT_EQ(look().outcome.status, 502);
}

// Guards against MIXED: an engine that ends right after the head of its answer.
TEST_F(unframed_answers, answer_without_body_is_broken) {
    start_desk({head});
    EXPECT_EQ(book().outcome.status, 502) << world.gateway(0).output();
    EXPECT_EQ(look().outcome.status, 502);
}

// Guards against MIXED: the end of an engine looks like the end of its answer.
TEST_F(unframed_answers, answer_whose_server_is_gone_at_its_end_is_broken) {
    start_desk({std::string(head) + "boo"});
    engine->crash_with_next_answer();
    EXPECT_EQ(book().outcome.status, 502) << world.gateway(0).output();
}

// Guards against MIXED: a check of the server that gets no reply counts as passed.
TEST_F(unframed_answers, answer_whose_server_cannot_be_checked_is_broken) {
    start_desk({std::string(head) + "boo"});
    engine->hang_with_next_answer();
    EXPECT_EQ(book().outcome.status, 502) << world.gateway(0).output();
}

} // namespace
