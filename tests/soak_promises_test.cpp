// Checks of the soak: each broken promise is noticed, and a sound answer is not taken for one.
#include <gtest/gtest.h>

#include "support/platform_server.h"
#include "support/platform_world.h"
#include "support/raw_server.h"
#include "support/standin_http.h"
#include "support/weight_origin.h"

#include "soak/fault_proxy.h"
#include "soak/promises.h"
#include "soak/soak_plan.h"
#include "soak/timeline.h"

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

/// A run whose gateways and servers were disturbed at no time, with times since its start.
class soak_timeline : public ::testing::Test {
protected:
    static time_point at(int time_ms) { return time_point(seconds(3600)) + milliseconds(time_ms); }
    static std::string name_of(const std::optional<breach>& broken) {
        return broken ? std::string(find_name(promise_names, broken->broken)) : "none";
    }

    /// A request at the first gateway.
    std::string broken_by(request_kind kind, int status, int sent_ms,
                          answer_end end = answer_end::complete, int time_ms = 50) {
        timed_exchange exchange;
        exchange.request = {kind, "request-1"};
        exchange.sent_at = at(sent_ms);
        exchange.ended_at = at(sent_ms + time_ms);
        exchange.answer.status = status;
        exchange.answer.end = end;
        return name_of(times.check_exchange(exchange, {desk}));
    }

    /// The request has reached a server before its connection ends.
    std::string broken_by_end(int sent_ms, int time_ms = 50) {
        times.send("request-1", 0);
        times.check_arrival("desk-zone-a", desk, "request-1", at(sent_ms));
        return broken_by(request_kind::book, 0, sent_ms, answer_end::broken, time_ms);
    }

    std::string broken_by_arrival(int time_ms, const std::string& server = "desk-zone-a") {
        times.send("request-1", 0);
        return name_of(times.check_arrival(server, desk, "request-1", at(time_ms)));
    }

    void announce(configuration_state state, int time_ms) {
        times.propose(state, at(time_ms));
        times.acknowledge(at(time_ms + 10));
    }

    void disturb(fault_target target, int begin_ms, int end_ms, bool is_planned = false) {
        times.begin_fault(target, is_planned, at(begin_ms));
        times.end_fault(target, at(end_ms));
    }

    const fault_target gateway{target_kind::gateway, 0};
    const fault_target other_gateway{target_kind::gateway, 1};
    const fault_target gateway_store{target_kind::store, 0};
    const fault_target desk{target_kind::desk, 0};
    timeline times;
};

constexpr int ok = 200;
constexpr int unknown_key = 401;
constexpr int no_route = 404;
constexpr int unavailable = 503;

// Guards against a soak that misses a request which is cut off around a SIGTERM.
TEST_F(soak_timeline, request_that_is_cut_around_planned_work_is_lost) {
    EXPECT_EQ(broken_by(request_kind::book, 0, 1000, answer_end::broken), "none")
        << "it has reached no server";
    EXPECT_EQ(broken_by_end(1000), "LOST");
    disturb(gateway, 900, 6000, true);
    disturb(other_gateway, 900, 1100);
    EXPECT_EQ(broken_by_end(1000), "LOST");
}

// Guards against a soak that blames a gateway for the end of its server, its kill or a timeout.
TEST_F(soak_timeline, request_that_is_cut_by_a_fault_or_late_is_not_lost) {
    EXPECT_EQ(broken_by_end(1000, 700), "none") << "its time is over";
    disturb(desk, 10000, 11000);
    EXPECT_EQ(broken_by_end(13900), "none");
    EXPECT_EQ(broken_by_end(14100), "LOST");
    disturb(gateway, 20000, 21000);
    EXPECT_EQ(broken_by_end(19980), "none") << "killed while it was answered";
    EXPECT_EQ(broken_by_end(23900), "none");
    times.begin_fault(gateway_store, false, at(30000));
    EXPECT_EQ(broken_by_end(60000), "none") << "the fault lasts";
    EXPECT_EQ(broken_by(request_kind::book, ok, 1000), "none");
}

// Guards against a soak that misses an old configuration that is still in force.
TEST_F(soak_timeline, outdated_configuration_is_noticed) {
    announce({false, true}, 0);
    announce({true, false}, 10000);
    EXPECT_EQ(broken_by(request_kind::later, no_route, 12020), "CONFIG");
    EXPECT_EQ(broken_by(request_kind::guest, ok, 12020), "CONFIG");
    announce({false, true}, 20000);
    EXPECT_EQ(broken_by(request_kind::later, ok, 22020), "CONFIG");
    EXPECT_EQ(broken_by(request_kind::guest, unknown_key, 22020), "CONFIG");
    for (const int status : {unknown_key, no_route}) {
        EXPECT_EQ(broken_by(request_kind::look, status, 22020), "CONFIG") << status;
    }
}

// Guards against a soak that blames a gateway before a configuration is due, or for a fault.
TEST_F(soak_timeline, configuration_that_may_be_in_force_is_allowed) {
    announce({false, true}, 0);
    announce({true, false}, 10000);
    EXPECT_EQ(broken_by(request_kind::later, no_route, 11990), "none");
    EXPECT_EQ(broken_by(request_kind::later, ok, 9960), "none") << "it is written meanwhile";
    EXPECT_EQ(broken_by(request_kind::later, ok, 12020), "none");
    EXPECT_EQ(broken_by(request_kind::later, unavailable, 9000), "none");
    EXPECT_EQ(broken_by(request_kind::later, ok, 9000), "CONFIG") << "not yet written";
    disturb(gateway_store, 13000, 13500);
    EXPECT_EQ(broken_by(request_kind::guest, ok, 16400), "none");
    EXPECT_EQ(broken_by(request_kind::guest, ok, 16600), "CONFIG");
    // The third one allows what the first one did, as soon as it may be in force.
    times.propose({false, true}, at(20000));
    EXPECT_EQ(broken_by(request_kind::later, no_route, 20000), "none");
    EXPECT_EQ(broken_by(request_kind::later, ok, 20000), "none");
}

// Guards against a soak that misses a request to a server that has left.
TEST_F(soak_timeline, request_to_a_server_that_leaves_is_noticed) {
    times.close_server("desk-zone-a", "leaving", leaving_bound, at(10000));
    EXPECT_EQ(broken_by_arrival(12010), "DRAIN");
    times.open_server("desk-zone-a", "leaving");
    times.close_server("desk-zone-a", "evacuated", evacuation_bound, at(20000));
    EXPECT_EQ(broken_by_arrival(25010), "DRAIN");
}

// Guards against a soak that blames a gateway before the bound, after the return, or for a fault.
TEST_F(soak_timeline, request_to_a_server_that_may_be_used_is_allowed) {
    EXPECT_EQ(broken_by_arrival(1000), "none");
    times.close_server("desk-zone-a", "leaving", leaving_bound, at(10000));
    EXPECT_EQ(broken_by_arrival(11990), "none");
    EXPECT_EQ(broken_by_arrival(12010, "desk-zone-b"), "none");
    disturb(gateway, 13000, 14000, true);
    EXPECT_EQ(broken_by_arrival(16900), "none");
    EXPECT_EQ(broken_by_arrival(17100), "DRAIN");
    disturb(desk, 18000, 18100);
    EXPECT_EQ(broken_by_arrival(20000), "none") << "it may have been held up";
    times.open_server("desk-zone-a", "leaving");
    EXPECT_EQ(broken_by_arrival(30000), "none");
}

/// An engine that loads what it has been given.
class soak_engine : public ::testing::Test {
protected:
    void SetUp() override { engine.set_unchecked_loads(); }

    int call(const std::string& method, const std::string& path, const std::string& body) {
        http_request request;
        request.method = method;
        request.url = "http://" + engine.address() + path;
        request.body = body;
        return fetch_blocking(client, std::move(request), mebibyte).outcome.status;
    }

    void stage(std::uint64_t version, std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            call("PUT",
                 std::string("/stage-put/") + harness::standin_model +
                     "?sample_count=" + std::to_string(i),
                 harness::weight_origin::piece(version, i));
        }
    }

    int order(std::uint64_t version, int sequence) {
        return call("POST", "/order",
                    nlohmann::json{{"version", version}, {"expected_revision", sequence}}.dump());
    }

    harness::platform_server engine{"engine-zone-a", true};
    http_client client;
};

// Guards against a soak that misses weights of two versions, or blames a whole version.
TEST_F(soak_engine, loads_of_pieces_of_two_versions_are_counted) {
    constexpr std::size_t all_pieces = harness::weight_origin::piece_count;
    constexpr int accepted = 202;
    stage(2, all_pieces);
    EXPECT_EQ(order(2, 0), accepted);
    EXPECT_EQ(engine.wrong_load_count(), 0);
    stage(3, all_pieces - 1);
    EXPECT_EQ(order(3, 1), accepted);
    EXPECT_EQ(engine.wrong_load_count(), 1);
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
    EXPECT_EQ(free_at.size(), 26U);
}

// Guards against a series that checks no promise with a time bound, or overlaps too little.
TEST(soak_plan, has_calm_periods_with_planned_work) {
    constexpr milliseconds duration{60000};
    std::set<fault_kind> kinds;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        for (const auto& fault : make_plan(seed, duration, {4, 2, 2, 4})) {
            kinds.insert(fault.kind);
        }
    }
    EXPECT_EQ(kinds.size(), fault_names.size() - 1) << "each kind but none";
    const auto plan = make_plan(7, duration, {4, 2, 2, 4});
    constexpr std::size_t servers = 100;
    // The longest time without faults at two of the gateways, their connections and the plain
    // servers.
    milliseconds longest{0};
    for (milliseconds begin{0}; begin < duration; begin += milliseconds(100)) {
        milliseconds end = duration;
        std::set<std::size_t> disturbed;
        for (const auto& fault : plan) {
            const bool is_of_gateway = fault.target == target_kind::gateway ||
                                       fault.target == target_kind::store ||
                                       fault.target == target_kind::peer;
            const bool is_relevant = is_of_gateway || fault.target == target_kind::desk;
            if (is_relevant && !is_planned(fault.kind) && fault.end > begin && fault.begin < end) {
                disturbed.insert(is_of_gateway ? fault.index : servers);
                if (!is_of_gateway || disturbed.size() > 2) {
                    end = std::max(fault.begin, begin);
                }
            }
        }
        longest = std::max(longest, end - begin);
    }
    EXPECT_GT(longest, contact_time + leaving_bound);
}

} // namespace
