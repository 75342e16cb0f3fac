// Tests of the HTTP client with servers whose answers have no end.
#include <gtest/gtest.h>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/sizes.h"

#include "support/endless_server.h"
#include "support/platform_world.h"
#include "support/raw_server.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr milliseconds exchange_timeout{1500};
constexpr std::size_t max_body_size = mebibyte;
/// What the client reads at most, and what fits into the socket buffers of both sides.
constexpr std::uint64_t max_sent_bytes = 16 * mebibyte;

struct endless_answer {
    const char* name;
    const char* first_part;
    const char* repeated_part;
};

std::ostream& operator<<(std::ostream& out, const endless_answer& answer) {
    return out << answer.name;
}

class endless_answers : public ::testing::TestWithParam<endless_answer> {};

// Guards against a process that runs out of memory while a server sends an answer without end.
TEST_P(endless_answers, exchange_fails_within_bounded_bytes) {
    endless_server server(GetParam().first_part, GetParam().repeated_part);
    http_client client;
    http_request request;
    request.url = "http://" + server.address() + "/";
    request.timeout = exchange_timeout;
    const http_response response = fetch_blocking(client, request, max_body_size);
    EXPECT_FALSE(response.outcome.is_complete);
    EXPECT_FALSE(response.outcome.is_timed_out);
    EXPECT_EQ(response.outcome.verdict, run_verdict::may_have_run);
    EXPECT_LE(server.sent_bytes(), max_sent_bytes);
    EXPECT_EQ(client.active_count(), 0U);
    // A second request needs a connection of its own, so the first one's is closed.
    fetch_blocking(client, request, max_body_size);
    EXPECT_EQ(server.request_count(), 2);
    EXPECT_GE(server.closed_count(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    answers, endless_answers,
    ::testing::Values(
        endless_answer{"header_line", "HTTP/1.1 200 OK\r\nX-Filler: ", "abcdefgh"},
        endless_answer{"header_lines", "HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n"},
        endless_answer{"interim_responses", "", "HTTP/1.1 103 Early Hints\r\nX-Filler: a\r\n\r\n"},
        endless_answer{"trailers",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
                       "X-Filler: abcdefgh\r\n"},
        endless_answer{"body", "HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"},
        endless_answer{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "2\r\nab\r\n"},
        endless_answer{"no_http", "", "abcdefgh\r\n"}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against an exchange that outlasts its time while a server sends the extension of a chunk,
// of which nothing is reported.
TEST(http_client, chunk_extension_without_end_ends_with_the_time_of_the_exchange) {
    endless_server server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "abcdefgh");
    http_client client;
    http_request request;
    request.url = "http://" + server.address() + "/";
    request.timeout = exchange_timeout;
    const http_response response = fetch_blocking(client, request, max_body_size);
    EXPECT_FALSE(response.outcome.is_complete);
    EXPECT_EQ(response.body, "");
}

http_request request_to(const raw_server& server) {
    http_request request;
    request.url = "http://" + server.address() + "/";
    request.timeout = exchange_timeout;
    return request;
}

// Guards against a crash inside an answer without length, which looks like the answer's end.
TEST(http_client, response_without_length_or_chunks_is_marked) {
    const auto ends_with_connection = [](const std::string& response) {
        raw_server server([response](const std::string&) { return response; });
        http_client client;
        const auto answer = fetch_blocking(client, request_to(server), max_body_size);
        EXPECT_TRUE(answer.outcome.is_complete) << response;
        return answer.outcome.framing == body_framing::connection;
    };
    EXPECT_TRUE(ends_with_connection("HTTP/1.1 200 OK\r\n\r\nabc"));
    EXPECT_TRUE(ends_with_connection("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"));
    EXPECT_FALSE(ends_with_connection("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"));
    EXPECT_FALSE(ends_with_connection(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
    EXPECT_FALSE(ends_with_connection("HTTP/1.1 204 No Content\r\n\r\n"));
}

// Guards against a check of a server that sends it a request, or that takes a gone server for one
// that runs.
TEST(http_client, connection_without_request_shows_whether_a_server_runs) {
    raw_server server([](const std::string&) { return "HTTP/1.1 200 OK\r\n\r\n"; });
    http_client client;
    http_request check = request_to(server);
    check.is_connect_only = true;
    check.may_reuse_connection = false;
    EXPECT_TRUE(fetch_blocking(client, check, max_body_size).outcome.is_complete);
    // The operating system completes a connection before the server has accepted it.
    EXPECT_TRUE(wait_until([&] { return server.connection_count() == 1; }, exchange_timeout));
    EXPECT_EQ(server.request_count(), 0);
    server.crash_with_next_answer();
    fetch_blocking(client, request_to(server), max_body_size);
    EXPECT_EQ(server.request_count(), 1);
    const auto refused = fetch_blocking(client, check, max_body_size);
    EXPECT_FALSE(refused.outcome.is_complete);
    EXPECT_FALSE(refused.outcome.is_timed_out);
    EXPECT_EQ(client.active_count(), 0U);
}

} // namespace
