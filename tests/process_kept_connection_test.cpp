// Servers that write an earlier answer once more on a kept connection, at a gateway on a simulated
// platform.
#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <thread>

#include <gtest/gtest.h>

#include "support/platform_world.h"
#include "support/raw_server.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr const char* raw_desk = "raw-desk";
constexpr const char* refusal =
    "HTTP/1.1 503 Service Unavailable\r\nX-Citronseam-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr milliseconds listing_timeout{5000};
constexpr milliseconds work_time{50};
/// Longer than a server counts as full after a refusal.
constexpr milliseconds backoff_time{150};

/// @return value of a header of a request; empty when absent
std::string header_of(const std::string& head, const std::string& name) {
    const auto found = head.find("\r\n" + name + ": ");
    if (found == std::string::npos) {
        return {};
    }
    const auto first = found + name.size() + 4;
    return head.substr(first, head.find("\r\n", first) - first);
}

std::string target_of(const std::string& head) {
    const auto first = head.find(' ') + 1;
    return head.substr(first, head.find(' ', first) - first);
}

/// @return a whole answer that names its request
std::string answer_to(const std::string& head, const std::string& status = "200 OK") {
    const std::string body = "done " + target_of(head);
    return "HTTP/1.1 " + status +
           "\r\nX-Citronseam-Attempt-Id: " + header_of(head, "X-Citronseam-Attempt-Id") +
           "\r\nX-Citronseam-Response-Seal: seal-of-raw\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A gateway whose service `desk` has one server, which keeps its connections and writes its first
/// answer once more before each later one.
class kept_connections : public ::testing::Test {
protected:
    /// @param first_answer of the server, to the first request
    void start(std::function<std::string(const std::string& head)> first_answer) {
        first_answer_ = std::move(first_answer);
        desk = std::make_unique<raw_server>([this](const std::string& head) {
            const bool is_first = desk->request_count() == 1;
            if (is_first) {
                first_bytes_ = first_answer_(head);
                return raw_answer{first_bytes_, raw_ending::keep, {}, {}};
            }
            const bool is_kept = desk->connection_count() == 1;
            // The request runs while the earlier answer is on its way.
            const std::string& repeated = repeated_bytes.empty() ? first_bytes_ : repeated_bytes;
            return raw_answer{is_kept ? repeated : "", raw_ending::keep,
                              answer_to(head, later_status), work_time};
        });
        for (const auto& server : world.plain_servers) {
            world.store.remove("servers", server->id());
        }
        world.put_foreign_server_row(raw_desk, desk->address(), "desk");
        ASSERT_TRUE(world.start()) << world.gateway(0).output();
        ASSERT_NE(world.gateway(0).wait_for_line(raw_desk, listing_timeout), "");
    }

    http_response call(const std::string& method, const std::string& path) {
        return world.call(0, method, path,
                          {{"Authorization", std::string("Token ") + platform_world::api_key}});
    }

    /// Sends the first request, which is refused.
    http_response call_refused(const std::string& method, const std::string& path) {
        auto answer = call(method, path);
        std::this_thread::sleep_for(backoff_time);
        return answer;
    }

    std::string repeated_bytes;         ///< written before later answers; empty: the first answer
    std::string later_status{"200 OK"}; ///< of later answers
    platform_world world;
    std::unique_ptr<raw_server> desk;

private:
    std::function<std::string(const std::string&)> first_answer_;
    std::string first_bytes_;
};

// Guards against REFUSED: a refusal that names no request, written once more on a kept connection,
// is taken for the refusal of a request that the server runs.
TEST_F(kept_connections, refusal_without_id_is_not_taken_for_that_of_the_next_request) {
    start([](const std::string&) { return refusal; });
    EXPECT_EQ(call_refused("GET", "/look/1").outcome.status, 503);
    const auto next = call("GET", "/look/2");
    EXPECT_EQ(next.outcome.status, 200) << world.gateway(0).output();
    EXPECT_EQ(next.body, "done /look/2");
    EXPECT_EQ(desk->request_count(), 2);
}

// Guards against REFUSED, where the refusal names the earlier request.
TEST_F(kept_connections, refusal_of_another_request_promises_nothing) {
    start([](const std::string& head) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Citronseam-Not-Executed: 1\r\n"
               "X-Citronseam-Attempt-Id: " +
               header_of(head, "X-Citronseam-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n";
    });
    EXPECT_EQ(call_refused("GET", "/look/1").outcome.status, 503);
    EXPECT_EQ(call("GET", "/look/2").outcome.status, 502) << world.gateway(0).output();
}

// Guards against MIXED: a late second copy of an answer that names no request.
TEST_F(kept_connections, answer_without_id_is_not_taken_for_that_of_the_next_request) {
    start([](const std::string&) {
        return "HTTP/1.1 200 OK\r\nX-Citronseam-Response-Seal: seal-of-raw\r\n"
               "Content-Length: 5\r\n\r\nfirst";
    });
    EXPECT_EQ(call("GET", "/look/1").body, "first");
    const auto next = call("GET", "/look/2");
    EXPECT_EQ(next.body, "done /look/2") << world.gateway(0).output();
}

// Guards against MIXED: a late second copy of an answer.
TEST_F(kept_connections, answer_to_another_request_is_broken) {
    start([](const std::string& head) { return answer_to(head); });
    EXPECT_EQ(call("GET", "/look/1").body, "done /look/1");
    const auto next = call("GET", "/look/2");
    EXPECT_EQ(next.outcome.status, 502) << world.gateway(0).output();
}

// Guards against MIXED: an answer that names no request comes after one that does.
TEST_F(kept_connections, extra_answer_without_id_is_not_taken_for_that_of_the_next_request) {
    repeated_bytes = "HTTP/1.1 200 OK\r\nX-Citronseam-Response-Seal: seal-of-raw\r\n"
                     "Content-Length: 5\r\n\r\nextra";
    start([](const std::string& head) { return answer_to(head); });
    EXPECT_EQ(call("GET", "/look/1").body, "done /look/1");
    EXPECT_EQ(call("GET", "/look/2").outcome.status, 502) << world.gateway(0).output();
}

// Guards against a new connection for each request, which costs servers time.
TEST_F(kept_connections, connection_is_kept_after_an_answer_that_names_its_request) {
    start([](const std::string& head) { return answer_to(head); });
    call("GET", "/look/1");
    call("GET", "/look/2");
    EXPECT_EQ(desk->connection_count(), 1);
}

// Guards against TWICE and REFUSED: a request that may run once reads an earlier answer as its own.
// It never uses a connection that carried another request.
TEST_F(kept_connections, request_that_may_run_once_has_a_connection_of_its_own) {
    start([](const std::string&) { return refusal; });
    EXPECT_EQ(call_refused("POST", "/book/1").outcome.status, 503);
    EXPECT_EQ(call("POST", "/book/2").body, "done /book/2") << world.gateway(0).output();
    EXPECT_EQ(call("POST", "/book/3").body, "done /book/3") << world.gateway(0).output();
    EXPECT_EQ(call("GET", "/look/4").body, "done /look/4") << world.gateway(0).output();
    EXPECT_EQ(call("POST", "/book/5").body, "done /book/5") << world.gateway(0).output();
    EXPECT_EQ(desk->connection_count(), 5);
    EXPECT_EQ(desk->request_count(), 5);
}

// Guards against REFUSED: a status that promises "not run" from a server that does not say so.
TEST_F(kept_connections, status_of_a_refusal_without_its_header_promises_nothing) {
    start([](const std::string& head) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Citronseam-Response-Seal: seal-of-raw\r\n"
               "X-Citronseam-Attempt-Id: " +
               header_of(head, "X-Citronseam-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n";
    });
    const auto answer = call("POST", "/book/1");
    EXPECT_EQ(answer.outcome.status, 502) << world.gateway(0).output();
    EXPECT_EQ(find_header(answer.headers, "X-Citronseam-Response-Seal"), "");
}

// Guards against TWICE and REFUSED: a second copy of a refusal bears the id of a request that is
// sent to the same server again. It never is.
TEST_F(kept_connections, server_that_refused_a_request_does_not_get_it_again) {
    start([](const std::string& head) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Citronseam-Not-Executed: 1\r\n"
               "X-Citronseam-Attempt-Id: " +
               header_of(head, "X-Citronseam-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n";
    });
    EXPECT_EQ(call("GET", "/look/1").outcome.status, 503) << "three attempts are allowed";
    EXPECT_EQ(desk->request_count(), 1);
}

/// The head of an earlier answer that breaks off right before the answer to the next request.
struct broken_head {
    const char* name;
    const char* bytes;
};

std::ostream& operator<<(std::ostream& out, const broken_head& head) {
    return out << head.name;
}

class broken_heads : public kept_connections, public ::testing::WithParamInterface<broken_head> {
protected:
    void start_with_failing_server() {
        start([](const std::string& head) { return answer_to(head); });
        later_status = "500 Internal Server Error";
        repeated_bytes = GetParam().bytes;
    }
};

// Guards against MIXED and REFUSED: the status of an earlier answer that broke off inside its head
// is taken for that of the next request, whose server failed it.
TEST_P(broken_heads, are_not_continued_by_the_next_answer) {
    start_with_failing_server();
    EXPECT_EQ(call("GET", "/look/1").body, "done /look/1");
    const auto next = call("GET", "/look/2");
    EXPECT_EQ(next.outcome.status, 502) << next.body << world.gateway(0).output();
    EXPECT_EQ(find_header(next.headers, "X-Citronseam-Response-Seal"), "");
    EXPECT_EQ(desk->connection_count(), 1) << "the connection is kept";
}

INSTANTIATE_TEST_SUITE_P(
    kept_connections, broken_heads,
    ::testing::Values(broken_head{"in_the_reason_phrase", "HTTP/1.1 200 O"},
                      broken_head{"in_a_value", "HTTP/1.1 200 OK\r\nDate: Sat, 05"},
                      broken_head{"in_the_reason_phrase_of_a_refusal", "HTTP/1.1 503 Service"},
                      broken_head{"in_the_statement_of_a_refusal",
                                  "HTTP/1.1 503 Service Unavailable\r\n"
                                  "X-Citronseam-Not-Executed: 1"}),
    [](const auto& tested) { return std::string(tested.param.name); });

/// A gateway whose service `desk` has two servers.
class moved_requests : public ::testing::Test {
protected:
    void SetUp() override {
        for (const auto& server : world.plain_servers) {
            world.store.remove("servers", server->id());
        }
        for (std::size_t i = 0; i < server_count; ++i) {
            desks[i] = std::make_unique<raw_server>(
                [this](const std::string& head) { return answer(head); });
            world.put_foreign_server_row(name(i), desks[i]->address(), "desk");
        }
        world.set_retry_ratio(server_count);
        ASSERT_TRUE(world.start()) << world.gateway(0).output();
        for (std::size_t i = 0; i < server_count; ++i) {
            ASSERT_NE(world.gateway(0).wait_for_line(name(i), listing_timeout), "");
        }
    }

    http_response look(const std::string& path) {
        return world.call(0, "GET", path,
                          {{"Authorization", std::string("Token ") + platform_world::api_key}});
    }

    static constexpr std::size_t server_count = 2;
    static constexpr const char* moved_path = "/look/moved";

    std::array<std::unique_ptr<raw_server>, server_count> desks;
    std::atomic<int> moved_arrivals{0};
    platform_world world;

private:
    /// After a gateway has sent the request to a second server as well.
    static constexpr milliseconds late_refusal_time{500};
    static constexpr milliseconds refusal_time{400};

    static std::string name(std::size_t server) { return "raw-desk-" + std::to_string(server); }

    raw_answer answer(const std::string& head) {
        if (target_of(head) != moved_path) {
            return {answer_to(head), raw_ending::keep, {}, {}};
        }
        if (++moved_arrivals == 1) {
            return {"", raw_ending::keep, refusal, late_refusal_time};
        }
        const std::string named = std::string(refusal).insert(
            std::string(refusal).find("Content-Length"),
            "X-Citronseam-Attempt-Id: " + header_of(head, "X-Citronseam-Attempt-Id") + "\r\n");
        return {"", raw_ending::keep, named, refusal_time};
    }
};

// Guards against a false promise: a request has moved from a server where an unnamed refusal, which
// may be an earlier request's, came late, and is refused by the other one.
TEST_F(moved_requests, late_refusal_without_id_promises_nothing) {
    const auto has_requests = [](const auto& desk) { return desk->request_count() > 0; };
    for (int i = 0; !std::all_of(desks.begin(), desks.end(), has_requests); ++i) {
        ASSERT_LT(i, 100);
        EXPECT_EQ(look("/look/" + std::to_string(i)).outcome.status, 200);
    }
    EXPECT_EQ(look(moved_path).outcome.status, 502) << world.gateway(0).output();
    EXPECT_EQ(moved_arrivals, 2);
}

} // namespace
