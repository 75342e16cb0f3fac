// Checks of the soak: each broken promise is noticed, and a sound answer is not taken for one.
#include <gtest/gtest.h>

#include "support/platform_server.h"

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
