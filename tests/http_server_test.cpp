// The HTTP server under callers that read slowly, send badly or send too much at once.
#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/http_server.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/sizes.h"

namespace {

using namespace citronseam;

constexpr std::size_t part_size = kibibyte;
constexpr std::size_t part_count = 16384;
constexpr std::size_t burst = 256;
constexpr std::size_t caller_count = 8;

/// Streams many parts from a thread that is not the library's.
class streaming_server {
public:
    streaming_server()
        : server_({{"127.0.0.1", 0}, 1, mebibyte},
                  [this](const server_request& request,
                         const std::shared_ptr<http_responder>& responder) {
                      if (request.path == "/target") {
                          responder->respond(200, {}, request.target);
                      } else if (request.path == "/stream") {
                          writer_.post([responder] { stream(*responder); });
                      } else {
                          responder->respond(200, {}, request.method + " " + request.body);
                      }
                  }) {}

    void set_limits(const connection_limits& limits) { server_.set_limits(limits); }

    asio::ip::tcp::socket connect() {
        asio::ip::tcp::socket socket(client_);
        socket.connect({asio::ip::make_address("127.0.0.1"), server_.port()});
        return socket;
    }

    /// Sends bytes on a new connection and reads until the server closes it.
    std::string exchange(const std::string& bytes) {
        auto socket = connect();
        asio::write(socket, asio::buffer(bytes));
        std::string answer;
        asio::error_code ended;
        asio::read(socket, asio::dynamic_buffer(answer), ended);
        return answer;
    }

private:
    static void stream(http_responder& responder) {
        responder.begin(200, {});
        for (std::size_t i = 0; i < part_count; ++i) {
            responder.write(std::string(part_size, static_cast<char>('a' + i % 26)));
            if (i % burst == 0) {
                // The reader drains the socket in between, while parts are still queued.
                std::this_thread::sleep_for(std::chrono::microseconds(300));
            }
        }
        responder.finish();
    }

    asio::io_context client_;
    io_threads writer_{caller_count};
    http_server server_;
};

/// @return whether the last chunk came
bool read_slowly(streaming_server& server) {
    auto slow = server.connect();
    asio::write(slow, asio::buffer(std::string("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    std::string answer;
    std::string chunk(64 * kibibyte, '\0');
    asio::error_code ended;
    while (!ended && answer.find("\r\n0\r\n\r\n") == std::string::npos) {
        const std::size_t size = slow.read_some(asio::buffer(chunk), ended);
        answer.append(chunk, 0, size);
        answer.erase(0, answer.size() > 64 * kibibyte ? answer.size() - 64 * kibibyte : 0);
    }
    return !ended;
}

TEST(http_server, a_caller_that_reads_slowly_gets_its_whole_answer) {
    streaming_server server;
    std::vector<std::thread> callers;
    std::atomic<std::size_t> whole{0};
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers.emplace_back([&] { whole += read_slowly(server) ? 1 : 0; });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(whole, caller_count);
}

TEST(http_server, listens_on_the_port_that_it_was_given) {
    const auto answer = [](const server_request&,
                           const std::shared_ptr<http_responder>& responder) {
        responder->respond(200, {}, "here");
    };
    std::uint16_t port = 0;
    {
        const http_server first({{"127.0.0.1", 0}, 1, mebibyte}, answer);
        port = first.port();
    }
    const http_server second({{"127.0.0.1", port}, 1, mebibyte}, answer);
    EXPECT_EQ(second.port(), port);
    http_client client;
    http_request request;
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    EXPECT_EQ(fetch_and_wait(client, std::move(request), mebibyte).body, "here");
}

TEST(http_server, bad_requests_get_a_clear_answer) {
    streaming_server server;
    const auto post = [&](const std::string& headers) {
        return server.exchange("POST / HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n\r\n");
    };
    EXPECT_EQ(post("Content-Length: 99999999").substr(0, 12), "HTTP/1.1 413");
    EXPECT_EQ(post("Content-Length: -5").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(post("Content-Length: 1\r\nContent-Length: 2").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(server.exchange("NONSENSE\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
}

TEST(connection_limits, what_has_begun_is_refused_and_what_is_idle_is_closed) {
    connection_limits limits;
    const milliseconds long_time(60000);
    EXPECT_EQ(judge_time(connection_phase::head, long_time, limits), time_verdict::keep)
        << "no limit is set";
    limits.head_time = milliseconds(300);
    limits.idle_time = milliseconds(1000);
    EXPECT_EQ(judge_time(connection_phase::head, milliseconds(299), limits), time_verdict::keep);
    EXPECT_EQ(judge_time(connection_phase::head, milliseconds(300), limits), time_verdict::refuse);
    EXPECT_EQ(judge_time(connection_phase::body, milliseconds(999), limits), time_verdict::keep);
    EXPECT_EQ(judge_time(connection_phase::body, milliseconds(1000), limits), time_verdict::refuse);
    EXPECT_EQ(judge_time(connection_phase::idle, milliseconds(1000), limits), time_verdict::close);
    EXPECT_EQ(judge_time(connection_phase::answering, long_time, limits), time_verdict::keep);
}

TEST(http_server, callers_that_take_too_long_are_refused_or_closed) {
    streaming_server server;
    connection_limits limits;
    limits.head_time = milliseconds(300);
    limits.idle_time = milliseconds(600);
    limits.body = 4;
    limits.head = 200;
    server.set_limits(limits);
    EXPECT_EQ(server.exchange("GET / HTTP/1.1\r\nHost:").substr(0, 12), "HTTP/1.1 408");
    EXPECT_EQ(server.exchange(""), "") << "an idle connection is closed";
    EXPECT_EQ(
        server.exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab").substr(0, 12),
        "HTTP/1.1 408");
    EXPECT_EQ(server.exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde")
                  .substr(0, 12),
              "HTTP/1.1 413");
    EXPECT_EQ(
        server
            .exchange("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(300, 'x') + "\r\n\r\n")
            .substr(0, 12),
        "HTTP/1.1 431");
    const std::string answer = server.exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 15), "HTTP/1.1 200 OK") << "then the idle connection is closed";
}

TEST(http_server, an_answer_that_outlives_the_server_can_be_dropped) {
    for (int round = 0; round < 20; ++round) {
        std::shared_ptr<http_responder> kept;
        std::atomic<bool> is_here{false};
        asio::io_context client;
        asio::ip::tcp::socket socket(client);
        {
            http_server server({{"127.0.0.1", 0}, 1, mebibyte},
                               [&](const server_request&, const auto& responder) {
                                   kept = responder;
                                   is_here = true;
                               });
            socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
            asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
            while (!is_here) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        }
        kept->respond(200, {}, "too late");
        kept.reset();
    }
}

TEST(http_server, the_target_arrives_as_the_caller_wrote_it) {
    streaming_server server;
    const std::string target = "/target?z=%2F1&a=2&z=3&b=";
    const std::string answer = server.exchange("GET " + target +
                                               " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                                               "GET /again HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(answer.find(target), std::string::npos) << answer;
}

TEST(http_server, a_pipelined_request_sees_an_answer_or_a_closed_connection) {
    streaming_server server;
    const std::string one = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    const std::string answer = server.exchange(one + one);
    EXPECT_NE(answer.find("POST abc"), std::string::npos);
    EXPECT_EQ(answer.find("POST abc"), answer.rfind("POST abc")) << "one answer, then the end";
}

} // namespace
