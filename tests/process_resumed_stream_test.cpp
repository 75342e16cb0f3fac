// Streams that break off and go on at another engine, which answers with something else, at a
// gateway on a simulated platform.
#include <memory>
#include <sstream>
#include <vector>

#include <gtest/gtest.h>

#include "support/platform_world.h"
#include "support/raw_server.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr const char* sealed_stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                      "X-Citronseam-Response-Seal: seal-of-raw\r\n"
                                      "X-Citronseam-Weight-Versions: 1\r\n";
constexpr const char* two_events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr const char* error_text =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    "Content-Length: 12\r\n\r\nengine error";
constexpr milliseconds listing_timeout{5000};

std::string chunked(const std::string& head, const std::vector<std::string>& chunks) {
    std::string bytes = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& chunk : chunks) {
        std::ostringstream size;
        size << std::hex << chunk.size();
        bytes += size.str() + "\r\n" + chunk + "\r\n";
    }
    return bytes;
}

std::string whole(const std::string& chunked_bytes) {
    return chunked_bytes + "0\r\n\r\n";
}

std::string with_length(const std::string& head, const std::string& body) {
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What the second engine answers to the request that goes on after event 2.
struct named_answer {
    const char* name;
    std::string bytes;
};

std::ostream& operator<<(std::ostream& out, const named_answer& answer) {
    return out << answer.name;
}

/// A gateway with two engines. A stream breaks off at the first one inside its third event.
class resumed_streams : public ::testing::TestWithParam<named_answer> {
protected:
    void start(const std::string& first, const std::string& resumed) {
        start_with([first, resumed](const std::string& head) {
            const bool is_resumed = head.find("Last-Event-Id: 2") != std::string::npos;
            return is_resumed ? resumed : first;
        });
    }

    void start_with(const std::function<std::string(const std::string& head)>& answer) {
        for (const char* id : {"raw-engine-1", "raw-engine-2"}) {
            engines.push_back(std::make_unique<raw_server>(answer));
            world.put_foreign_server_row(id, engines.back()->address(), "drafts", 1);
        }
        for (const auto& engine : world.engines) {
            world.store.remove("servers", engine->id());
        }
        ASSERT_TRUE(world.start()) << world.gateway(0).output();
        ASSERT_NE(world.gateway(0).wait_for_line("raw-engine-2", listing_timeout), "");
    }

    http_response draft() {
        return world.call(0, "POST", "/draft/1",
                          {{"Authorization", std::string("Token ") + platform_world::api_key},
                           {"X-Citronseam-Token-Usage", "110,20"}});
    }

    int request_count() const { return engines[0]->request_count() + engines[1]->request_count(); }

    platform_world world;
    std::vector<std::unique_ptr<raw_server>> engines;
};

const std::string broken_stream =
    chunked(sealed_stream, {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\nda"});

// Guards against ORDER and MIXED: the answer of the second engine, which is no part of the stream,
// reaches the caller in its midst, or ends it as if it were complete.
TEST_P(resumed_streams, answer_that_is_no_part_of_the_stream_breaks_it_off) {
    start(broken_stream, GetParam().bytes);
    const auto answer = draft();
    EXPECT_EQ(request_count(), 2) << world.gateway(0).output();
    EXPECT_EQ(answer.body, two_events);
    EXPECT_FALSE(answer.outcome.is_complete) << world.gateway(0).output();
}

std::vector<named_answer> foreign_answers() {
    const std::string error_head = "HTTP/1.1 500 Internal Server Error\r\n"
                                   "Content-Type: text/plain\r\n";
    const std::string seal = "X-Citronseam-Response-Seal: seal-of-raw\r\n";
    const std::string rest = "id: 3\ndata: c\n\n";
    return {
        {"failure", with_length(error_head + seal, "engine error\n\n")},
        {"failure_without_seal", with_length(error_head, "engine error\n\n")},
        {"failure_as_stream", whole(chunked("HTTP/1.1 500 Internal Server Error\r\n"
                                            "Content-Type: text/event-stream\r\n" +
                                                seal,
                                            {rest}))},
        {"refusal", "HTTP/1.1 503 Service Unavailable\r\nX-Citronseam-Not-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n"},
        {"not_found", with_length("HTTP/1.1 404 Not Found\r\n" + seal, "no such thing\n\n")},
        {"partial_content", whole(chunked("HTTP/1.1 206 Partial Content\r\n"
                                          "Content-Type: text/event-stream\r\n" +
                                              seal,
                                          {rest}))},
        {"success_without_seal",
         whole(chunked("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", {rest}))},
        {"success_that_has_not_run",
         whole(chunked(std::string(sealed_stream) + "X-Citronseam-Not-Executed: 1\r\n", {rest}))},
        {"success_with_error_text", with_length(sealed_stream, "engine error\n\n")},
        {"event_without_number",
         whole(chunked(sealed_stream, {"event: error\ndata: engine error\n\n"}))},
        {"number_with_letters", whole(chunked(sealed_stream, {"id: 3x\ndata: c\n\n"}))},
        {"later_event", whole(chunked(sealed_stream, {"id: 4\ndata: d\n\n"}))},
        {"earlier_events_only", whole(chunked(sealed_stream, {two_events}))},
        {"no_events", with_length(sealed_stream, "")},
        {"no_events_in_chunks", whole(chunked(sealed_stream, {}))},
        {"error_in_place_of_events", std::string(sealed_stream) + "\r\n" + error_text},
        {"head_that_is_cut_off", sealed_stream},
        {"noise", "engine error\n\n"},
        {"nothing", ""},
    };
}

INSTANTIATE_TEST_SUITE_P(answers, resumed_streams, ::testing::ValuesIn(foreign_answers()),
                         [](const auto& tested) { return std::string(tested.param.name); });

using error_in_stream = resumed_streams;

// Guards against ORDER: a stream that breaks off inside its first event ends as complete, with
// nothing but a comment.
TEST_F(error_in_stream, stream_that_broke_off_inside_its_first_event_is_not_ended_by_an_empty_one) {
    int answered = 0;
    start_with([&answered](const std::string&) {
        return answered++ == 0 ? chunked(sealed_stream, {": alive\n\nid: 1\nda"})
                               : with_length(sealed_stream, "");
    });
    EXPECT_FALSE(draft().outcome.is_complete) << world.gateway(0).output();
}

// Guards against ORDER: an engine that fails in the midst of a stream without length writes its
// error there, head and all; the stream goes on at another engine.
TEST_F(error_in_stream, text_is_not_passed_on_and_the_stream_goes_on) {
    start(std::string(sealed_stream) + "\r\n" + two_events + error_text,
          whole(chunked(sealed_stream, {"id: 3\ndata: c\n\n"})));
    const auto answer = draft();
    EXPECT_EQ(answer.body, std::string(two_events) + "id: 3\ndata: c\n\n");
    EXPECT_TRUE(answer.outcome.is_complete) << world.gateway(0).output();
}

// Guards against ORDER: two streams are joined, since the first one's events have no numbers after
// which another engine could go on.
TEST_F(error_in_stream, stream_without_numbers_does_not_go_on_elsewhere) {
    int answered = 0;
    start_with([&answered](const std::string&) {
        return answered++ == 0 ? chunked(sealed_stream, {"event: error\ndata: a\n\n"})
                               : whole(chunked(sealed_stream, {two_events}));
    });
    const auto answer = draft();
    EXPECT_EQ(answer.body, "event: error\ndata: a\n\n");
    EXPECT_FALSE(answer.outcome.is_complete) << world.gateway(0).output();
}

// Guards against a sound stream that is broken off for a comment, which keeps connections alive.
TEST_F(error_in_stream, comments_are_passed_on) {
    const std::string body = ": alive\n\nid: 1\ndata: a\n\n:\n\nid: 2\ndata: b\n\n: alive\r\n\r\n";
    start(whole(chunked(sealed_stream, {body})), "");
    const auto answer = draft();
    EXPECT_EQ(answer.body, body);
    EXPECT_TRUE(answer.outcome.is_complete) << world.gateway(0).output();
}

} // namespace
