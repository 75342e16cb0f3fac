// Requests under way whose callers leave, or whose deadlines pass, at a gateway on a simulated
// platform.
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <asio.hpp>

#include "support/platform_world.h"
#include "support/raw_server.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

/// Time within which no engine works any more once a caller has gone.
constexpr milliseconds due_time{500};
/// Time in which a request might be sent again all the same.
constexpr milliseconds later_time{1500};
constexpr milliseconds listing_timeout{5000};
constexpr milliseconds stage_timeout{3000};

constexpr const char* failure = "HTTP/1.1 500 Internal Server Error\r\n"
                                "X-Citronseam-Response-Seal: seal-of-raw\r\n"
                                "Content-Length: 6\r\n\r\nfailed";
constexpr const char* refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                "X-Citronseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char* unproven = "HTTP/1.1 200 OK\r\nX-Citronseam-Response-Seal: seal-of-raw\r\n"
                                 "Content-Type: text/event-stream\r\n"
                                 "X-Citronseam-Weight-Versions: 1\r\n\r\nid: 1\ndata: a\n\n";
constexpr const char* begun = "HTTP/1.1 200 OK\r\nX-Citronseam-Response-Seal: seal-of-raw\r\n"
                              "Content-Type: text/event-stream\r\n"
                              "X-Citronseam-Weight-Versions: 1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";

/// A request, and how far it has come when its caller goes.
struct stage {
    const char* name;
    const char* path;
    raw_answer first;       ///< to the first request that arrives
    raw_answer later;       ///< to those after it
    bool is_hanging;        ///< the first engine accepts no connection after its answer
    int request_count;      ///< that engines have received at this stage
    milliseconds more_time; ///< from their arrival to the stage
    milliseconds deadline;  ///< past the stage
};

std::ostream& operator<<(std::ostream& out, const stage& tested) {
    return out << tested.name;
}

enum class caller_end : std::uint8_t { leaves, waits_until_deadline };

class gone_callers : public ::testing::TestWithParam<std::tuple<stage, caller_end>> {
protected:
    /// Starts a gateway whose only servers are engines of the test.
    void start(int engine_count,
               const std::function<raw_answer(int arrival, const std::string& head)>& answer) {
        for (int i = 0; i < engine_count; ++i) {
            const std::string id = "raw-" + std::to_string(i);
            engines.push_back(std::make_unique<raw_server>(
                [this, answer](const std::string& head) { return answer(arrivals++, head); }));
            world.put_foreign_server_row(id + "-drafts", engines.back()->address(), "drafts", 1);
            world.put_foreign_server_row(id + "-desk", engines.back()->address(), "desk");
        }
        for (const auto& server : world.engines) {
            world.store.remove("servers", server->id());
        }
        for (const auto& server : world.plain_servers) {
            world.store.remove("servers", server->id());
        }
        ASSERT_TRUE(world.start()) << world.gateway(0).output();
        const std::string last = "raw-" + std::to_string(engine_count - 1) + "-d";
        ASSERT_NE(world.gateway(0).wait_for_line(last, listing_timeout), "");
    }

    asio::ip::tcp::socket send_request(const std::string& path, milliseconds deadline) {
        asio::ip::tcp::socket socket(loop);
        socket.connect({asio::ip::make_address("127.0.0.1"), world.http_port(0)});
        const bool is_stream = path.rfind("/draft", 0) == 0;
        const std::string number = std::to_string(++sent);
        const std::string text =
            (is_stream ? "POST " : "GET ") + path +
            " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + platform_world::api_key +
            "\r\nX-Citronseam-Attempt-Id: gone-" + number +
            "\r\nX-Citronseam-Deadline-Ms: " + std::to_string(deadline.count()) +
            "\r\nX-Citronseam-Prompt-Prefix: bad0:60," + number + ":10" +
            (is_stream ? "\r\nContent-Length: 0" : "") + "\r\n\r\n";
        asio::write(socket, asio::buffer(text));
        return socket;
    }

    int request_count() const {
        int count = 0;
        for (const auto& engine : engines) {
            count += engine->request_count();
        }
        return count;
    }

    int waiting_count() const {
        int count = 0;
        for (const auto& engine : engines) {
            count += engine->waiting_count();
        }
        return count;
    }

    /// Expects that the caller's request, which has just ended for it, occupies no engine.
    void expect_end(int expected_requests) {
        std::this_thread::sleep_for(due_time);
        EXPECT_EQ(waiting_count(), 0) << "engines work on" << world.gateway(0).output();
        std::this_thread::sleep_for(later_time);
        EXPECT_EQ(request_count(), expected_requests) << world.gateway(0).output();
    }

    std::atomic<int> arrivals{0};
    int sent{0};
    platform_world world;
    asio::io_context loop;
    std::vector<std::unique_ptr<raw_server>> engines;
};

using late_move = gone_callers;

// Guards against GONE: engines work on for callers that have left or whose deadlines have passed.
TEST_P(gone_callers, no_engine_works_on_for_them) {
    const auto& [tested, end] = GetParam();
    const stage& at = tested;
    start(2, [this, at](int arrival, const std::string&) {
        if (arrival == 0 && at.is_hanging) {
            for (const auto& engine : engines) {
                engine->hang_with_next_answer();
            }
        }
        return arrival == 0 ? at.first : at.later;
    });
    const bool is_leaving = end == caller_end::leaves;
    const auto began_at = std::chrono::steady_clock::now();
    auto caller = send_request(at.path, is_leaving ? milliseconds(5000) : at.deadline);
    ASSERT_TRUE(wait_until([&] { return request_count() == at.request_count; }, stage_timeout))
        << request_count() << world.gateway(0).output();
    if (is_leaving) {
        std::this_thread::sleep_for(at.more_time);
        caller.close();
    } else {
        std::this_thread::sleep_until(began_at + at.deadline);
    }
    expect_end(at.request_count);
}

constexpr milliseconds short_deadline{250};
constexpr milliseconds moved_deadline{1400};
constexpr milliseconds moved_stream_deadline{2500};
constexpr milliseconds check_time{100};

const raw_answer silence{"", raw_ending::silence, {}, {}};

std::vector<stage> stages() {
    const raw_answer failed{failure, raw_ending::close, {}, {}};
    const raw_answer refused{refusal, raw_ending::close, {}, {}};
    const raw_answer lost{"", raw_ending::reset, {}, {}};
    const raw_answer ended{unproven, raw_ending::close, {}, {}};
    const raw_answer streams{begun, raw_ending::silence, {}, {}};
    const milliseconds none{0};
    return {
        {"queued", "/look/1", silence, silence, false, 1, none, short_deadline},
        {"queued_stream", "/draft/1", silence, silence, false, 1, none, short_deadline},
        {"streaming", "/draft/1", streams, silence, false, 1, none, short_deadline},
        {"streaming_once", "/draft-once/1", streams, silence, false, 1, none, short_deadline},
        {"moved", "/look/1", silence, silence, false, 2, none, moved_deadline},
        {"moved_stream", "/draft/1", silence, silence, false, 2, none, moved_stream_deadline},
        {"moved_while_streaming", "/draft/1", streams, silence, false, 2, none,
         moved_stream_deadline},
        {"repeated_after_refusal", "/look/1", refused, silence, false, 2, none, short_deadline},
        {"repeated_after_failure", "/look/1", failed, silence, false, 2, none, short_deadline},
        {"repeated_after_loss", "/look/1", lost, silence, false, 2, none, short_deadline},
        {"stream_repeated_after_refusal", "/draft/1", refused, silence, false, 2, none,
         short_deadline},
        {"stream_repeated_after_failure", "/draft/1", failed, silence, false, 2, none,
         short_deadline},
        {"stream_repeated_after_loss", "/draft/1", lost, silence, false, 2, none, short_deadline},
        {"end_being_checked", "/look/1", ended, silence, true, 1, check_time, short_deadline},
        {"end_of_stream_being_checked", "/draft/1", ended, silence, true, 1, check_time,
         short_deadline},
    };
}

INSTANTIATE_TEST_SUITE_P(
    table, gone_callers,
    ::testing::Combine(::testing::ValuesIn(stages()),
                       ::testing::Values(caller_end::leaves, caller_end::waits_until_deadline)),
    [](const auto& tested) {
        return std::string(std::get<0>(tested.param).name) +
               (std::get<1>(tested.param) == caller_end::leaves ? "_left" : "_out_of_time");
    });

// Guards against GONE: a request whose end could not be proven is repeated, and its second engine
// works on once its caller has gone.
TEST_F(late_move, request_repeated_after_an_unproven_answer_ends_with_its_caller) {
    start(2, [this](int arrival, const std::string&) {
        if (arrival > 0) {
            return silence;
        }
        // Only the engine that answers leaves its next connections unanswered.
        for (const auto& engine : engines) {
            if (engine->request_count() > 0) {
                engine->hang_with_next_answer();
            }
        }
        return raw_answer{unproven, raw_ending::close, {}, {}};
    });
    auto caller = send_request("/look/1", milliseconds(1400));
    ASSERT_TRUE(wait_until([&] { return request_count() == 2; }, stage_timeout))
        << world.gateway(0).output();
    caller.close();
    expect_end(2);
}

// Guards against GONE: a connection that is opened for a caller that has left carries its request.
TEST_F(late_move, request_that_waits_for_a_connection_is_not_sent_once_its_caller_has_left) {
    start(1, [this](int arrival, const std::string&) {
        if (arrival == 0) {
            engines[0]->hang_with_next_answer();
            return raw_answer{"HTTP/1.1 200 OK\r\nX-Citronseam-Response-Seal: seal-of-raw\r\n"
                              "Content-Length: 2\r\n\r\nok",
                              raw_ending::close,
                              {},
                              {}};
        }
        return silence;
    });
    auto first = send_request("/look/1", milliseconds(1400));
    std::string answer;
    asio::read_until(first, asio::dynamic_buffer(answer), "\r\n\r\n");
    ASSERT_EQ(answer.rfind("HTTP/1.1 200", 0), 0U) << answer;
    auto caller = send_request("/look/2", milliseconds(1400));
    std::this_thread::sleep_for(check_time);
    caller.close();
    std::this_thread::sleep_for(check_time);
    engines[0]->accept_again();
    expect_end(1);
}

// Guards against GONE: a gateway that comes to its requests late moves one to a second engine
// although its caller has left.
TEST_F(late_move, request_is_not_moved_once_its_caller_has_left) {
    constexpr int round_count = 8;
    constexpr int callers_in_a_round = 3;
    constexpr milliseconds arrival_time{300};
    /// Longer than the silence after which a gateway moves a stream.
    constexpr milliseconds pause{1500};
    world.set_retry_ratio(1.0);
    start(2, [](int, const std::string&) { return silence; });
    for (int i = 0; i < round_count; ++i) {
        std::vector<asio::ip::tcp::socket> callers;
        callers.reserve(callers_in_a_round);
        for (int k = 0; k < callers_in_a_round; ++k) {
            callers.push_back(send_request("/draft/" + std::to_string(k), milliseconds(5500)));
        }
        std::this_thread::sleep_for(arrival_time);
        const int request_count_before = request_count();
        world.gateway(0).send_signal(SIGSTOP);
        callers.clear();
        std::this_thread::sleep_for(pause);
        world.gateway(0).send_signal(SIGCONT);
        std::this_thread::sleep_for(due_time);
        EXPECT_EQ(request_count(), request_count_before) << "round " << i;
        EXPECT_EQ(waiting_count(), 0) << "round " << i;
    }
    EXPECT_GT(request_count(), 0);
}

// Guards against GONE: a request that failed at one engine and waits at another one when it becomes
// known to crash engines gets the failure, and the second engine works on.
TEST_F(late_move, request_that_is_refused_while_it_waits_leaves_its_engine) {
    constexpr int engine_count = 4;
    constexpr int max_crashing_requests = 10;
    constexpr milliseconds retry_interval{300};
    std::atomic<int> failures{0};
    world.set_retry_ratio(1.0);
    start(engine_count, [&failures](int, const std::string& head) {
        if (head.rfind("POST /draft/crash", 0) == 0) {
            return raw_answer{"", raw_ending::reset, {}, {}};
        }
        return failures++ == 0 ? raw_answer{failure, raw_ending::close, {}, {}} : silence;
    });
    auto caller = send_request("/draft/waits", milliseconds(5500));
    ASSERT_TRUE(wait_until([&] { return waiting_count() == 1; }, stage_timeout));
    for (int i = 0; i < max_crashing_requests && caller.available() == 0; ++i) {
        auto crashing = send_request("/draft/crash-" + std::to_string(i), milliseconds(1000));
        std::this_thread::sleep_for(retry_interval);
    }
    std::string answer;
    asio::read_until(caller, asio::dynamic_buffer(answer), "\r\n\r\n");
    EXPECT_EQ(answer.rfind("HTTP/1.1 500", 0), 0U) << answer;
    EXPECT_TRUE(wait_until([&] { return waiting_count() == 0; }, due_time))
        << world.gateway(0).output();
}

} // namespace
