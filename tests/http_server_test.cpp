// Tests of the HTTP server with slow, malformed, oversized and pipelined requests.
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
constexpr std::size_t parts_per_burst = 256;
constexpr std::size_t client_count = 8;

/// Server that streams many chunks from a thread outside Pistache's thread pool, where Pistache's
/// own write queue terminates the process when a client reads slowly.
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
                      } else if (request.path == "/later") {
                          writer_.post([responder] { responder->respond(200, {}, "done"); });
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
    /// @return what was read
    std::string exchange(const std::string& bytes) {
        auto socket = connect();
        asio::write(socket, asio::buffer(bytes));
        std::string response;
        asio::error_code ec;
        asio::read(socket, asio::dynamic_buffer(response), ec);
        return response;
    }

private:
    static void stream(http_responder& responder) {
        responder.begin(200, {});
        for (std::size_t i = 0; i < part_count; ++i) {
            responder.write(std::string(part_size, static_cast<char>('a' + i % 26)));
            if (i % parts_per_burst == 0) {
                // Let the client drain its socket while chunks are still queued.
                std::this_thread::sleep_for(std::chrono::microseconds(300));
            }
        }
        responder.finish();
    }

    asio::io_context client_;
    io_thread_pool writer_{client_count};
    http_server server_;
};

/// @return whether the last chunk was received
bool read_slowly(streaming_server& server) {
    auto socket = server.connect();
    asio::write(socket, asio::buffer(std::string("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    std::string response;
    std::string chunk(64 * kibibyte, '\0');
    asio::error_code ec;
    while (!ec && response.find("\r\n0\r\n\r\n") == std::string::npos) {
        const std::size_t size = socket.read_some(asio::buffer(chunk), ec);
        response.append(chunk, 0, size);
        response.erase(0, response.size() > 64 * kibibyte ? response.size() - 64 * kibibyte : 0);
    }
    return !ec;
}

TEST(http_server, a_slow_reader_receives_the_whole_response) {
    streaming_server server;
    std::vector<std::thread> threads;
    std::atomic<std::size_t> complete_count{0};
    for (std::size_t i = 0; i < client_count; ++i) {
        threads.emplace_back([&] { complete_count += read_slowly(server) ? 1 : 0; });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(complete_count, client_count);
}

/// Sends requests one after another on a kept connection, each once the last response has arrived.
/// @return number of responses
std::size_t count_responses(streaming_server& server, std::size_t request_count) {
    auto socket = server.connect();
    std::size_t responses = 0;
    std::string received;
    asio::error_code ec;
    while (!ec && responses < request_count) {
        asio::write(socket, asio::buffer(std::string("GET /later HTTP/1.1\r\nHost: h\r\n\r\n")),
                    ec);
        asio::read_until(socket, asio::dynamic_buffer(received), "done", ec);
        responses += ec ? 0 : 1;
        received.clear();
    }
    return responses;
}

// Guards against dropping a request that arrives right after the last bytes of a response.
TEST(http_server, request_on_a_kept_connection_is_answered_however_soon_it_comes) {
    constexpr std::size_t request_count = 5000;
    streaming_server server;
    std::vector<std::thread> threads;
    std::atomic<std::size_t> response_count{0};
    for (std::size_t i = 0; i < client_count; ++i) {
        threads.emplace_back([&] { response_count += count_responses(server, request_count); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(response_count, client_count * request_count);
}

TEST(http_server, listens_on_the_given_port) {
    const auto handler = [](const server_request&,
                            const std::shared_ptr<http_responder>& responder) {
        responder->respond(200, {}, "here");
    };
    std::uint16_t port = 0;
    {
        const http_server first({{"127.0.0.1", 0}, 1, mebibyte}, handler);
        port = first.port();
    }
    const http_server second({{"127.0.0.1", port}, 1, mebibyte}, handler);
    EXPECT_EQ(second.port(), port);
    http_client client;
    http_request request;
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    EXPECT_EQ(fetch_blocking(client, std::move(request), mebibyte).body, "here");
}

TEST(http_server, malformed_requests_are_rejected_with_a_status) {
    streaming_server server;
    const auto post = [&](const std::string& headers) {
        return server.exchange("POST / HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n\r\n");
    };
    EXPECT_EQ(post("Content-Length: 99999999").substr(0, 12), "HTTP/1.1 413");
    EXPECT_EQ(post("Content-Length: -5").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(post("Content-Length: 1\r\nContent-Length: 2").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(server.exchange("NONSENSE\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
}

TEST(connection_limits, unfinished_requests_are_refused_and_idle_connections_closed) {
    connection_limits limits;
    const milliseconds long_time(60000);
    EXPECT_EQ(choose_timeout_action(connection_phase::head, long_time, limits),
              timeout_action::keep)
        << "no limit is set";
    limits.head_timeout = milliseconds(300);
    limits.idle_timeout = milliseconds(1000);
    EXPECT_EQ(choose_timeout_action(connection_phase::head, milliseconds(299), limits),
              timeout_action::keep);
    EXPECT_EQ(choose_timeout_action(connection_phase::head, milliseconds(300), limits),
              timeout_action::refuse);
    EXPECT_EQ(choose_timeout_action(connection_phase::body, milliseconds(999), limits),
              timeout_action::keep);
    EXPECT_EQ(choose_timeout_action(connection_phase::body, milliseconds(1000), limits),
              timeout_action::refuse);
    EXPECT_EQ(choose_timeout_action(connection_phase::idle, milliseconds(1000), limits),
              timeout_action::close);
    EXPECT_EQ(choose_timeout_action(connection_phase::responding, long_time, limits),
              timeout_action::keep);
}

TEST(http_server, slow_or_oversized_requests_are_refused) {
    streaming_server server;
    connection_limits limits;
    limits.head_timeout = milliseconds(300);
    limits.idle_timeout = milliseconds(600);
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
    const std::string response = server.exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(response.substr(0, 15), "HTTP/1.1 200 OK") << "then the idle connection is closed";
}

TEST(http_server, a_responder_may_outlive_the_server) {
    for (int round = 0; round < 20; ++round) {
        std::shared_ptr<http_responder> kept_responder;
        std::atomic<bool> has_request{false};
        asio::io_context client;
        asio::ip::tcp::socket socket(client);
        {
            http_server server({{"127.0.0.1", 0}, 1, mebibyte},
                               [&](const server_request&, const auto& responder) {
                                   kept_responder = responder;
                                   has_request = true;
                               });
            socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
            asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
            while (!has_request) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        }
        kept_responder->respond(200, {}, "too late");
        kept_responder.reset();
    }
}

TEST(http_server, the_request_target_is_not_normalized) {
    streaming_server server;
    const std::string target = "/target?z=%2F1&a=2&z=3&b=";
    const std::string response = server.exchange("GET " + target +
                                                 " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                                                 "GET /again HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(response.find(target), std::string::npos) << response;
}

TEST(http_server, a_pipelined_request_gets_a_response_or_a_closed_connection) {
    streaming_server server;
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    const std::string response = server.exchange(request + request);
    EXPECT_NE(response.find("POST abc"), std::string::npos);
    EXPECT_EQ(response.find("POST abc"), response.rfind("POST abc")) << "one answer, then the end";
}

} // namespace
