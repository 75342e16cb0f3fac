// Tests of the HTTP server with slow, malformed, oversized and pipelined requests.
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <sys/wait.h>
#include <unistd.h>

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
                      if (request.path == "/fields") {
                          responder->respond(200, {}, fields_of(request));
                      } else if (request.path == "/target") {
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
    static std::string fields_of(const server_request& request) {
        std::string text;
        for (const http_header& header : request.headers) {
            text += header.name + "=" + header.value + ";";
        }
        return text;
    }

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

// Guards against a server without open files left: idle connections give way, the longest idle
// first.
TEST(connection_limits, many_connections_give_up_those_idle_for_longest) {
    const connection_room room = find_connection_room(64);
    EXPECT_EQ(room.most, 16U) << "half of the files, two for each connection";
    EXPECT_EQ(room.scarce, 8U);
    const time_point start{};
    std::vector<time_point> idle_since;
    idle_since.reserve(20);
    for (int i = 0; i < 20; ++i) {
        idle_since.push_back(start + milliseconds((i * 7) % 20));
    }
    EXPECT_EQ(choose_idle_cutoff(idle_since, 16, room), std::nullopt);
    EXPECT_EQ(choose_idle_cutoff(idle_since, 20, room), start + milliseconds(5))
        << "six are closed, so that fourteen remain";
    EXPECT_EQ(choose_idle_cutoff({}, 20, room), std::nullopt) << "requests are not given up";
    EXPECT_EQ(choose_idle_cutoff({start}, 20, room), start);
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

// Guards against LOST: unfinished bodies at several listeners that together take all memory.
TEST(http_server, servers_that_share_memory_refuse_the_request_that_made_no_progress) {
    constexpr std::size_t limit = 512 * kibibyte;
    const auto memory = std::make_shared<receive_memory>(limit);
    const auto handler = [](const server_request& request,
                            const std::shared_ptr<http_responder>& responder) {
        responder->respond(200, {}, std::to_string(request.body.size()));
    };
    server_options options{{"127.0.0.1", 0}, 1, mebibyte};
    options.received = memory;
    http_server first(options, handler);
    http_server second(options, handler);
    asio::io_context loop;
    const auto connect = [&loop](const http_server& server) {
        asio::ip::tcp::socket socket(loop);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        return socket;
    };
    const auto read_all = [](asio::ip::tcp::socket& socket) {
        std::string response;
        asio::error_code ec;
        asio::read(socket, asio::dynamic_buffer(response), ec);
        return response;
    };
    const std::string body(256 * kibibyte, 'a');
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n";
    auto stalled = connect(first);
    asio::write(stalled, asio::buffer(head + body.substr(1)));
    while (memory->used() < body.size()) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    std::this_thread::sleep_for(min_receive_stall);
    auto other = connect(second);
    asio::write(other, asio::buffer(head + body));
    const std::string refusal = read_all(stalled);
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
    EXPECT_NE(refusal.find("Retry-After: "), std::string::npos);
    std::string answer;
    asio::error_code ec;
    asio::read_until(other, asio::dynamic_buffer(answer), std::to_string(body.size()), ec);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
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

// Guards against UNASKED: a list in several field lines that is passed on cut short.
TEST(http_server, fields_of_one_name_all_arrive_in_their_order) {
    streaming_server server;
    const std::string response = server.exchange("GET /fields HTTP/1.1\r\nHost: h\r\nList: a,b\r\n"
                                                 "Cookie: c=1\r\nlist:\tc \r\nConnection: close\r\n"
                                                 "Content-Length: 0\r\nList:\r\n\r\n"
                                                 "GET /again HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(response.find("Host=h;List=a,b;Cookie=c=1;list=c;Connection=close;List=;"),
              std::string::npos)
        << response;
}

TEST(http_server, a_pipelined_request_gets_a_response_or_a_closed_connection) {
    streaming_server server;
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    const std::string response = server.exchange(request + request);
    EXPECT_NE(response.find("POST abc"), std::string::npos);
    EXPECT_EQ(response.find("POST abc"), response.rfind("POST abc")) << "one answer, then the end";
}

constexpr const char* chunked_head =
    "POST / HTTP/1.1\r\nHost: h\r\ntransfer-encoding: Chunked\r\n\r\n";
constexpr const char* last_request = "GET /target HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
/// Time in which a busy server answers on the loopback.
constexpr milliseconds answer_timeout{5000};
/// Interval between two parts of a request, so that the server reads them one by one.
constexpr milliseconds part_interval{20};

/// Reads until a text was received or the connection has ended.
std::string read_until(asio::ip::tcp::socket& socket, const std::string& text) {
    std::string received;
    asio::error_code ec;
    const auto deadline = std::chrono::steady_clock::now() + answer_timeout;
    socket.non_blocking(true);
    while (received.find(text) == std::string::npos &&
           std::chrono::steady_clock::now() < deadline) {
        std::array<char, kibibyte> part{};
        const std::size_t size = socket.read_some(asio::buffer(part), ec);
        received.append(part.data(), size);
        if (ec && ec != asio::error::would_block) {
            break;
        }
        std::this_thread::sleep_for(milliseconds(ec ? 1 : 0));
    }
    return received;
}

/// A server that is left behind when a test fails, as one whose parser loops cannot be stopped.
class abandoned_on_failure {
public:
    ~abandoned_on_failure() {
        if (::testing::Test::HasFailure()) {
            static_cast<void>(server_.release());
        }
    }
    streaming_server& operator*() { return *server_; }
    streaming_server* operator->() { return server_.get(); }

private:
    std::unique_ptr<streaming_server> server_ = std::make_unique<streaming_server>();
};

/// Sends a request in two parts, then another one on the same connection.
/// @return the answers, as far as they came in time
std::string answer_in_two_parts(streaming_server& server, const std::string& request,
                                std::size_t first_size) {
    auto socket = server.connect();
    socket.set_option(asio::ip::tcp::no_delay(true));
    asio::error_code ec;
    asio::write(socket, asio::buffer(request.substr(0, first_size)), ec);
    std::this_thread::sleep_for(part_interval);
    asio::write(socket, asio::buffer(request.substr(first_size)), ec);
    const std::string first = read_until(socket, "POST abcdef");
    asio::write(socket, asio::buffer(std::string(last_request)), ec);
    return first + read_until(socket, "\r\n\r\n/target");
}

// Guards against a gateway that stops or refuses a sound request, or the next one on its
// connection, because the network divided a chunked body.
TEST(http_server, a_chunked_body_may_be_divided_anywhere) {
    abandoned_on_failure server;
    const std::string head = chunked_head;
    const std::string request = head + "3\r\nabc\r\n3;x=y\r\ndef\r\n0\r\nX-T: 1\r\n\r\n";
    for (std::size_t size = head.size() - 1; size < request.size(); ++size) {
        const std::string answers = answer_in_two_parts(*server, request, size);
        ASSERT_NE(answers.find("\r\n\r\nPOST abcdef"), std::string::npos)
            << request.substr(size) << " after the first part: " << answers;
        ASSERT_NE(answers.find("\r\n\r\n/target"), std::string::npos)
            << request.substr(size) << " after the first part: " << answers;
    }
}

// Guards against a gateway that stops when the line end after a chunk is divided by its own reads.
TEST(http_server, a_chunk_may_end_at_the_end_of_a_read) {
    constexpr std::size_t read_size = 4096;
    abandoned_on_failure server;
    const std::string filling(read_size - 1 - std::string(chunked_head).size() - 5, 'a');
    std::array<char, 8> size{};
    std::snprintf(size.data(), size.size(), "%03zx\r\n", filling.size());
    const std::string request = std::string(chunked_head) + size.data() + filling;
    ASSERT_EQ(request.size(), read_size - 1) << "the carriage return is the last byte";
    auto socket = server->connect();
    asio::write(socket, asio::buffer(request + "\r\n3\r\ndef\r\n0\r\n\r\n"));
    EXPECT_NE(read_until(socket, "adef").find("POST aaa"), std::string::npos);
}

// Guards against a request that runs although its body was cut off.
TEST(http_server, a_chunked_body_that_is_cut_off_or_malformed_is_not_handled) {
    abandoned_on_failure server;
    for (const char* body : {"3\r\nabc", "3\r\nabc\r\n0", "3\r\nabc\r\n0\r\n",
                             "3\r\nabc\r\n0\r\n\r", "3\r\nabc\r\n0\r\nX-T: 1\r\n"}) {
        auto socket = server->connect();
        asio::write(socket, asio::buffer(std::string(chunked_head) + body));
        socket.shutdown(asio::socket_base::shutdown_send);
        ASSERT_EQ(read_until(socket, "POST"), "") << body;
    }
    for (const char* body : {"zz\r\n", "3x\r\nabc\r\n", "3\r\nabcdef\r\n", "\r\n0\r\n\r\n",
                             "ffffffffffffffff3\r\nabc\r\n0\r\n\r\n"}) {
        auto socket = server->connect();
        asio::write(socket, asio::buffer(std::string(chunked_head) + body));
        const std::string answer = read_until(socket, "not_run\"}}");
        ASSERT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << body;
        ASSERT_NE(answer.find("\r\nConnection: close\r\n"), std::string::npos) << body;
    }
}

// Guards against a chunked body that evades the limit of bodies.
TEST(http_server, a_chunked_body_over_the_limit_is_refused) {
    abandoned_on_failure server;
    connection_limits limits;
    limits.body = 6;
    server->set_limits(limits);
    const auto answer_to = [&](const std::string& body) {
        auto socket = server->connect();
        asio::write(socket, asio::buffer(chunked_head + body));
        return read_until(socket, "\r\n\r\n").substr(0, 12);
    };
    EXPECT_EQ(answer_to("3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"), "HTTP/1.1 200");
    EXPECT_EQ(answer_to("3\r\nabc\r\n4\r\n"), "HTTP/1.1 413");
}

// Guards against bytes of a pipelined request's body that are read as a request of their own.
TEST(http_server, what_follows_a_chunked_body_is_not_read_as_a_request) {
    abandoned_on_failure server;
    const std::string hidden = "GET /target HTTP/1.1\r\nHost: h\r\n\r\n";
    auto socket = server->connect();
    asio::write(socket, asio::buffer(std::string(chunked_head) + "3\r\nabc\r\n0\r\n\r\n" +
                                     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                                     std::to_string(hidden.size()) + "\r\n\r\n"));
    std::string answers = read_until(socket, "POST abc");
    asio::error_code ec;
    asio::write(socket, asio::buffer(hidden), ec);
    answers += read_until(socket, "\r\n\r\n/target");
    EXPECT_NE(answers.find("POST abc"), std::string::npos);
    EXPECT_EQ(answers.find("HTTP/1.1", 1), std::string::npos) << answers;
}

/// Response that the sockets of both sides cannot hold.
constexpr std::size_t large_size = 16 * mebibyte;

/// Connects a socket, sends a request and waits until its response has begun.
void request_on(asio::ip::tcp::socket& socket, std::uint16_t port, const std::string& target) {
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(64 * kibibyte));
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"));
    socket.wait(asio::socket_base::wait_read);
}

/// Server whose responses are large and the last ones of their connections.
class large_response_server {
public:
    large_response_server()
        : server_({{"127.0.0.1", 0}, 1, mebibyte},
                  [this](const server_request& request,
                         const std::shared_ptr<http_responder>& responder) {
                      ++request_count_;
                      if (request.path == "/without_length") {
                          responder->respond_until_close(200, {}, std::string(large_size, 'x'));
                          return;
                      }
                      if (request.path == "/last") {
                          responder->close_after_response();
                      }
                      responder->respond(200, {}, std::string(large_size, 'x'));
                  }) {}

    void set_limits(const connection_limits& limits) { server_.set_limits(limits); }
    std::size_t request_count() const { return request_count_; }

    std::uint16_t port() const { return server_.port(); }

    /// Sends a request on a new connection and waits until its response has begun.
    asio::ip::tcp::socket request(const std::string& target) {
        asio::ip::tcp::socket socket(client_);
        request_on(socket, port(), target);
        return socket;
    }

private:
    asio::io_context client_;
    std::atomic<std::size_t> request_count_{0};
    http_server server_;
};

// Guards against a request that is handled although its connection will be closed without an
// answer to it.
TEST(http_server, a_request_during_the_last_response_is_not_handled) {
    large_response_server server;
    auto socket = server.request("/last");
    asio::write(socket, asio::buffer(std::string(last_request)));
    std::string response;
    asio::error_code ec;
    std::this_thread::sleep_for(part_interval);
    asio::read(socket, asio::dynamic_buffer(response), ec);
    EXPECT_GT(response.size(), large_size) << ec.message();
    EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos);
    EXPECT_EQ(server.request_count(), 1U);
}

// Guards against an answer that is cut off because its client reads slowly.
TEST(http_server, a_connection_is_not_idle_while_its_client_reads_the_response) {
    constexpr std::size_t part_bytes = 256 * kibibyte;
    constexpr milliseconds read_interval{40};
    connection_limits limits;
    limits.idle_timeout = milliseconds(1000);
    for (const char* target : {"/", "/last", "/without_length"}) {
        large_response_server server;
        server.set_limits(limits);
        auto socket = server.request(target);
        std::string response(part_bytes, '\0');
        std::size_t received = 0;
        asio::error_code ec;
        while (!ec) {
            std::this_thread::sleep_for(read_interval);
            received += asio::read(socket, asio::buffer(response), ec);
        }
        EXPECT_GT(received, large_size) << target << " " << ec.message();
        EXPECT_EQ(ec, asio::error::eof) << target;
    }
}

// Guards against a client that takes nothing and yet keeps a response in memory for ever.
TEST(http_server, a_client_that_reads_nothing_is_closed) {
    large_response_server server;
    connection_limits limits;
    limits.idle_timeout = milliseconds(300);
    server.set_limits(limits);
    auto socket = server.request("/");
    std::this_thread::sleep_for(milliseconds(1500));
    std::string response;
    asio::error_code ec;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    EXPECT_LT(response.size(), large_size);
}

/// Reads to the end of a connection.
/// @return whether the response is whole, or its end is no orderly one
bool is_whole_or_reset(asio::ip::tcp::socket& socket) {
    std::string response;
    asio::error_code ec;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    return response.size() > large_size || ec != asio::error::eof;
}

// Guards against a response without length that ends early and looks whole.
TEST(http_server, a_response_without_length_is_not_cut_off_in_order) {
    connection_limits limits;
    limits.idle_timeout = milliseconds(300);
    auto server = std::make_unique<large_response_server>();
    server->set_limits(limits);
    auto stalled = server->request("/without_length");
    std::this_thread::sleep_for(milliseconds(1500));
    EXPECT_TRUE(is_whole_or_reset(stalled)) << "closed by the idle timeout";
    auto half_closed = server->request("/without_length");
    half_closed.shutdown(asio::socket_base::shutdown_send);
    EXPECT_TRUE(is_whole_or_reset(half_closed)) << "the client has closed its side";
}

// Guards against the same when the process of the server is killed.
TEST(http_server, a_response_without_length_is_not_cut_off_in_order_by_a_killed_process) {
    std::array<int, 2> port_pipe{};
    ASSERT_EQ(::pipe(port_pipe.data()), 0);
    const pid_t child = ::fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
        const large_response_server server;
        const std::uint16_t port = server.port();
        if (::write(port_pipe[1], &port, sizeof(port)) == sizeof(port)) {
            ::pause();
        }
        ::_exit(1);
    }
    std::uint16_t port = 0;
    EXPECT_EQ(::read(port_pipe[0], &port, sizeof(port)), static_cast<ssize_t>(sizeof(port)));
    asio::io_context client;
    asio::ip::tcp::socket socket(client);
    request_on(socket, port, "/without_length");
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    EXPECT_TRUE(is_whole_or_reset(socket));
    ::close(port_pipe[0]);
    ::close(port_pipe[1]);
}

// Guards against a reset that takes the end of a whole response from its client.
TEST(http_server, a_whole_last_response_ends_in_order) {
    constexpr int rounds = 50;
    streaming_server small_server;
    large_response_server large_server;
    for (int round = 0; round < rounds; ++round) {
        auto large = large_server.request(round % 2 == 0 ? "/without_length" : "/last");
        std::string response;
        asio::error_code ec;
        asio::read(large, asio::dynamic_buffer(response), ec);
        EXPECT_GT(response.size(), large_size);
        EXPECT_EQ(ec, asio::error::eof) << ec.message();
        auto small = small_server.connect();
        asio::write(small, asio::buffer(std::string(last_request) + last_request));
        response.clear();
        asio::read(small, asio::dynamic_buffer(response), ec);
        EXPECT_NE(response.find("\r\n\r\n/target"), std::string::npos);
        EXPECT_EQ(ec, asio::error::eof) << ec.message();
    }
}

// Guards against a field that is hidden in a line of another one and reaches a backend server,
// which may end lines elsewhere.
TEST(http_server, a_head_whose_lines_others_read_differently_is_not_handled) {
    using namespace std::string_literals;
    std::atomic<int> handled{0};
    http_server server(
        {{"127.0.0.1", 0}, 1, mebibyte},
        [&handled](const server_request&, const std::shared_ptr<http_responder>& responder) {
            ++handled;
            responder->respond(200, {}, "handled");
        });
    for (const std::string& line :
         {"X-A: b\nTransfer-Encoding: chunked"s, "X-A: b\rTransfer-Encoding: chunked"s,
          "Transfer-Encoding : chunked"s, "X-A: b\r\n Transfer-Encoding: chunked"s, "X-A: b\0c"s,
          "Content-Length : 5"s, "X-A"s}) {
        handled = 0;
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        asio::write(socket, asio::buffer("GET / HTTP/1.1\r\nHost: h\r\n" + line + "\r\n\r\n"));
        const std::string answer = read_until(socket, "\r\n\r\n");
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << line << " -> " << answer;
        EXPECT_EQ(handled, 0) << line;
    }
}

/// Server that closes its connections after each response.
class closing_server {
public:
    explicit closing_server(std::size_t response_size)
        : server_({{"127.0.0.1", 0}, 1, mebibyte},
                  [response_size](const server_request&,
                                  const std::shared_ptr<http_responder>& responder) {
                      responder->close_after_response();
                      responder->respond(200, {}, std::string(response_size, 'x'));
                  }) {}

    std::uint16_t port() const { return server_.port(); }

private:
    http_server server_;
};

// Guards against an answer that is cut off by a reset, as its client sends its next request
// before it has read it.
TEST(http_server, a_late_request_does_not_cut_off_the_last_response) {
    constexpr std::size_t size = mebibyte;
    constexpr milliseconds write_time{300}; // until the sockets hold the response
    closing_server server(size);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    request_on(socket, server.port(), "/");
    std::this_thread::sleep_for(write_time);
    asio::error_code ec;
    asio::write(socket, asio::buffer(std::string(last_request)), ec);
    std::this_thread::sleep_for(part_interval);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    EXPECT_GT(response.size(), size) << ec.message();
    EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos);
}

// Guards against connections that stay open as their clients never close them.
TEST(http_server, a_connection_ends_although_its_client_does_not_close_it) {
    constexpr milliseconds longest_wait{5000};
    closing_server server(1);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    request_on(socket, server.port(), "/");
    std::string response;
    asio::error_code ec;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    EXPECT_EQ(ec, asio::error::eof) << "the response ends in order at once";
    const auto deadline = std::chrono::steady_clock::now() + longest_wait;
    ec = {};
    while (!ec && std::chrono::steady_clock::now() < deadline) {
        asio::write(socket, asio::buffer(std::string(1, 'x')), ec);
        std::this_thread::sleep_for(part_interval);
    }
    EXPECT_TRUE(ec) << "the server still reads";
}

// Guards against a planned stop that cuts off a response which its slow client has not taken yet.
TEST(http_server, a_response_counts_as_unsent_until_its_client_has_taken_enough) {
    constexpr std::size_t size = 32 * mebibyte - kibibyte;
    constexpr milliseconds step_timeout{5000};
    std::promise<void> is_handled;
    http_server server(
        {{"127.0.0.1", 0}, 1, mebibyte},
        [&is_handled](const server_request&, const std::shared_ptr<http_responder>& responder) {
            responder->respond(200, {}, std::string(size, 'x'));
            is_handled.set_value();
        });
    EXPECT_FALSE(server.has_unsent_responses());
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    request_on(socket, server.port(), "/");
    ASSERT_EQ(is_handled.get_future().wait_for(step_timeout), std::future_status::ready);
    EXPECT_TRUE(server.has_unsent_responses());
    std::string response;
    asio::error_code ec;
    asio::read(socket, asio::dynamic_buffer(response), asio::transfer_at_least(size), ec);
    const auto deadline = std::chrono::steady_clock::now() + step_timeout;
    while (server.has_unsent_responses() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(part_interval);
    }
    EXPECT_FALSE(server.has_unsent_responses());
}

} // namespace
