// Checks of the soak: each broken promise is noticed, and a sound answer is not taken for one.
#include <gtest/gtest.h>

#include "support/platform_server.h"
#include "support/platform_world.h"
#include "support/raw_server.h"

#include "soak/fault_proxy.h"
#include "soak/promises.h"
#include "soak/soak_plan.h"

namespace {

using namespace citronseam;
using namespace citronseam::soak;

const soak_request look{request_kind::look, "look-1-2"};
const soak_request stream{request_kind::stream, "draft-1-2"};

caller_answer make_answer(const soak_request& request, const std::string& body) {
    caller_answer answer;
    answer.end = answer_end::complete;
    answer.status = 200;
    answer.headers = {{"x-citronseam-response-seal",
                       request.is_stream() ? "seal-of-engine-zone-a" : "seal-of-desk-zone-a"},
                      {"x-citronseam-attempt-id", request.id}};
    answer.body = body;
    return answer;
}

std::string make_events(int first, int last, const std::string& path = stream.path()) {
    std::string text;
    for (int i = first; i <= last; ++i) {
        text += "id: " + std::to_string(i) + "\ndata: engine-zone-b " + path + "\n\n";
    }
    return text;
}

std::string broken_promise(const soak_request& request, const caller_answer& answer) {
    const auto broken = check_answer(request, answer);
    return broken ? std::string(find_name(promise_names, broken->broken)) : "none";
}

std::string broken_by_stream(const std::string& body, answer_end end = answer_end::complete) {
    caller_answer answer = make_answer(stream, body);
    answer.end = end;
    return broken_promise(stream, answer);
}

constexpr int all = harness::platform_server::events_per_stream;

// Guards against a soak that reports sound answers.
TEST(soak_promises, sound_answers_break_none) {
    EXPECT_EQ(broken_promise(look, make_answer(look, "booked /look/look-1-2")), "none");
    EXPECT_EQ(broken_by_stream(make_events(1, all)), "none");
    EXPECT_EQ(broken_by_stream(make_events(1, 3), answer_end::broken), "none");
    EXPECT_EQ(broken_by_stream(make_events(1, 3) + "id: 4\nda", answer_end::timed_out), "none");
}

// Guards against a soak that misses an answer that is cut, or is another request's.
TEST(soak_promises, wrong_answers_are_mixed) {
    EXPECT_EQ(broken_promise(look, make_answer(look, "booked /look/look-1-")), "MIXED");
    EXPECT_EQ(broken_promise(look, make_answer(look, "")), "MIXED");
    EXPECT_EQ(broken_promise(look, make_answer(look, "booked /look/look-1-3")), "MIXED");
    EXPECT_EQ(broken_promise(look, make_answer(stream, "booked /look/look-1-2")), "MIXED");
    caller_answer stray = make_answer(look, "booked /look/look-1-2");
    stray.stray_bytes = "HTTP/1.1 200 OK";
    EXPECT_EQ(broken_promise(look, stray), "MIXED");
    caller_answer failure = make_answer(look, "booked /look/look-1-2");
    failure.status = 502;
    EXPECT_EQ(broken_promise(look, failure), "MIXED");
}

// Guards against a soak that misses an event that is lost, repeated, foreign, or after the last
// one.
TEST(soak_promises, wrong_streams_break_the_order) {
    EXPECT_EQ(broken_by_stream(make_events(1, all - 1)), "ORDER");
    EXPECT_EQ(broken_by_stream(make_events(1, all) + make_events(all, all)), "ORDER");
    EXPECT_EQ(broken_by_stream(make_events(1, 2) + make_events(4, all), answer_end::broken),
              "ORDER");
    EXPECT_EQ(broken_by_stream(make_events(1, 2) + make_events(2, 3), answer_end::broken), "ORDER");
    EXPECT_EQ(broken_by_stream(make_events(1, 2) + "x" + make_events(3, 3), answer_end::broken),
              "ORDER");
    EXPECT_EQ(broken_by_stream(make_events(1, all, "/draft/draft-1-3")), "ORDER");
    EXPECT_EQ(broken_by_stream(make_events(1, all - 1) + "id: 8\ndata: "), "ORDER");
}

// Guards against a soak that misses a second run, or a run of a refused request.
TEST(soak_promises, wrong_runs_are_noticed) {
    const std::string book = make_id(request_kind::book, 1, 2);
    const std::string single = make_id(request_kind::single_stream, 1, 3);
    const std::string resumable = make_id(request_kind::stream, 1, 4);
    EXPECT_TRUE(check_runs({{book, 1}, {single, 1}, {resumable, 2}}, {{"book-1-5", 503}}).empty());
    for (const auto& id : {book, single}) {
        const auto twice = check_runs({{id, 2}}, {});
        ASSERT_EQ(twice.size(), 1U);
        EXPECT_EQ(twice[0].broken, promise::twice);
        EXPECT_EQ(twice[0].request, id);
        const auto refused = check_runs({{id, 1}}, {{id, 503}});
        ASSERT_EQ(refused.size(), 1U);
        EXPECT_EQ(refused[0].broken, promise::refused);
    }
    EXPECT_TRUE(is_refusal(429));
    EXPECT_FALSE(is_refusal(502));
}

constexpr milliseconds timeout{2000};
/// A head as long as that of a server's answer.
constexpr std::size_t padding_bytes = 200;
constexpr const char* request_bytes = "GET /look/1 HTTP/1.1\r\nHost: a.example\r\n\r\n";

/// A server that numbers its answers, behind a proxy.
class soak_proxy : public ::testing::Test {
protected:
    caller_answer exchange() { return caller.exchange(request_bytes, timeout); }

    int count{0};
    harness::raw_server server{
        std::function<harness::raw_answer(const std::string&)>([this](const std::string&) {
            return harness::raw_answer{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nPadding: " +
                                           std::string(padding_bytes, 'x') + "\r\n\r\n" +
                                           std::to_string(++count),
                                       harness::raw_ending::keep,
                                       {},
                                       {}};
        })};
    fault_proxy proxy{server.address()};
    caller_connection caller{parse_host_port(proxy.address())->port};
};

// Guards against faults that harm nothing, so that a soak shows nothing.
TEST_F(soak_proxy, answers_are_cut) {
    proxy.set_fault(fault_kind::cut_answer, 1);
    int broken_count = 0;
    for (int i = 0; i < 8; ++i) {
        broken_count += exchange().end == answer_end::broken ? 1 : 0;
    }
    EXPECT_GT(broken_count, 0);
    proxy.set_fault(fault_kind::none);
    EXPECT_EQ(exchange().end, answer_end::complete);
}

// Guards against a repeated answer that never comes.
TEST_F(soak_proxy, answers_are_repeated) {
    EXPECT_EQ(exchange().body, "1");
    proxy.set_fault(fault_kind::repeat_answer);
    EXPECT_EQ(exchange().body, "1") << "the earlier answer, although the server sent another one";
}

// Guards against a late answer that never comes, and a caller that does not notice it.
TEST_F(soak_proxy, answers_come_late_a_second_time) {
    proxy.set_fault(fault_kind::late_answer, 20);
    EXPECT_EQ(exchange().stray_bytes, "");
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_NE(exchange().stray_bytes, "");
}

// Guards against a request that is lost although the fault ends.
TEST_F(soak_proxy, held_requests_arrive_when_the_fault_ends) {
    EXPECT_EQ(exchange().body, "1");
    proxy.set_fault(fault_kind::hold_requests);
    EXPECT_EQ(caller.exchange(request_bytes, milliseconds(100)).end, answer_end::timed_out);
    EXPECT_EQ(server.request_count(), 1);
    proxy.set_fault(fault_kind::none);
    EXPECT_TRUE(
        harness::wait_until([this] { return server.request_count() == 2; }, milliseconds(2000)));
}

// Guards against a fault that damages an answer which it should only slow down.
TEST_F(soak_proxy, single_bytes_and_delays_keep_answers_whole) {
    proxy.set_fault(fault_kind::single_bytes);
    EXPECT_EQ(exchange().body, "1");
    proxy.set_fault(fault_kind::delay, 20);
    EXPECT_EQ(exchange().body, "2");
}

// Guards against connections that stay usable through a fault that ends them.
TEST_F(soak_proxy, connections_are_reset_or_silent) {
    EXPECT_EQ(exchange().body, "1");
    proxy.set_fault(fault_kind::silence);
    EXPECT_EQ(caller.exchange(request_bytes, milliseconds(100)).end, answer_end::timed_out);
    proxy.set_fault(fault_kind::none);
    EXPECT_EQ(exchange().end, answer_end::complete);
    EXPECT_EQ(caller.connection_count(), 2);
    proxy.set_fault(fault_kind::reset);
    std::this_thread::sleep_for(milliseconds(50));
    exchange();
    EXPECT_EQ(caller.connection_count(), 3);
}

// Guards against a seed that does not replay its faults.
TEST(soak_plan, depends_on_the_seed_only) {
    const auto text = [](std::uint64_t seed) {
        std::string lines;
        for (const auto& fault : make_plan(seed, milliseconds(20000), {4, 2, 2, 4})) {
            lines += describe(fault) + "\n";
        }
        return lines;
    };
    EXPECT_EQ(text(7), text(7));
    EXPECT_NE(text(7), text(8));
}

// Guards against faults of one target that overlap, or that last longer than the run.
TEST(soak_plan, faults_of_a_target_follow_each_other) {
    std::map<std::pair<target_kind, std::size_t>, milliseconds> free_at;
    for (const auto& fault : make_plan(7, milliseconds(60000), {4, 2, 2, 4})) {
        auto& end = free_at[{fault.target, fault.index}];
        EXPECT_GT(fault.begin, end) << describe(fault);
        EXPECT_LT(fault.end, milliseconds(60000)) << describe(fault);
        end = fault.end;
    }
    EXPECT_EQ(free_at.size(), 14U);
}

} // namespace
