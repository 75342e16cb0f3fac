// Frames and connections between processes, and the guard before the HTTP library.
#include <future>

#include <gtest/gtest.h>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/peer_listener.h"
#include "citronseam/connection/peer_session.h"
#include "citronseam/connection/request_guard.h"

namespace {

using namespace citronseam;

constexpr milliseconds bound{5000};

shared_frame hello(std::uint16_t protocol = wire_protocol_version) {
    wire::helloT message;
    message.protocol = protocol;
    message.instance = "test";
    return make_frame(std::move(message));
}

/// A listener whose only session reports why it closed.
class listening_end {
public:
    explicit listening_end(session_timing timing = {}) {
        listener_ = std::make_shared<peer_listener>(
            loop_.context(), host_port{"127.0.0.1", 0},
            [this, timing](asio::ip::tcp::socket socket) {
                session_observer observer;
                observer.on_hello = [](const auto&, const auto&) {};
                observer.on_message = [this](const auto&, const auto&) { ++messages_; };
                observer.on_closed = [this](const auto&, close_reason reason) {
                    closed_.set_value(reason);
                };
                std::make_shared<peer_session>(std::move(socket), hello(), timing,
                                               std::move(observer))
                    ->start();
            });
        listener_->start();
    }
    ~listening_end() { loop_.stop(); }

    asio::ip::tcp::socket connect() {
        asio::ip::tcp::socket socket(client_);
        socket.connect({asio::ip::make_address("127.0.0.1"), listener_->port()});
        return socket;
    }
    /// @return why the session closed, `local` when it did not within the bound
    close_reason wait_closed() {
        auto future = closed_.get_future();
        return future.wait_for(bound) == std::future_status::ready ? future.get()
                                                                   : close_reason::local;
    }
    int messages() const { return messages_; }

private:
    io_threads loop_{1};
    asio::io_context client_;
    std::shared_ptr<peer_listener> listener_;
    std::promise<close_reason> closed_;
    std::atomic<int> messages_{0};
};

void write(asio::ip::tcp::socket& socket, const std::vector<std::uint8_t>& bytes) {
    asio::write(socket, asio::buffer(bytes));
}

TEST(peer_session, garbage_closes_the_connection_with_its_reason) {
    listening_end end;
    auto socket = end.connect();
    write(socket, *hello());
    write(socket, {8, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8});
    EXPECT_EQ(end.wait_closed(), close_reason::garbage);
}

TEST(peer_session, an_oversized_frame_closes_the_connection_before_it_is_read) {
    listening_end end;
    auto socket = end.connect();
    write(socket, {0xff, 0xff, 0xff, 0x7f});
    EXPECT_EQ(end.wait_closed(), close_reason::oversized);
}

TEST(peer_session, another_protocol_version_is_refused) {
    listening_end end;
    auto socket = end.connect();
    write(socket, *hello(wire_protocol_version + 1));
    EXPECT_EQ(end.wait_closed(), close_reason::wrong_protocol);
}

TEST(peer_session, a_truncated_frame_is_no_message) {
    listening_end end;
    auto socket = end.connect();
    write(socket, *hello());
    auto half = *make_data_frame(1, 0, "half");
    half.resize(half.size() / 2);
    write(socket, half);
    socket.close();
    EXPECT_EQ(end.wait_closed(), close_reason::ended);
    EXPECT_EQ(end.messages(), 0);
}

TEST(peer_session, silence_closes_the_connection) {
    listening_end end({milliseconds(20), milliseconds(100)});
    auto socket = end.connect();
    write(socket, *hello());
    EXPECT_EQ(end.wait_closed(), close_reason::silent);
}

TEST(frame_decoder, cuts_a_stream_at_any_place) {
    std::vector<std::uint8_t> stream;
    for (std::uint64_t i = 0; i < 3; ++i) {
        const auto frame = make_data_frame(i, 0, std::string(i * 10, 'x'));
        stream.insert(stream.end(), frame->begin(), frame->end());
    }
    for (std::size_t step = 1; step < 40; ++step) {
        frame_decoder decoder;
        std::uint64_t frames = 0;
        for (std::size_t at = 0; at < stream.size(); at += step) {
            decoder.feed(stream.data() + at, std::min(step, stream.size() - at));
            std::basic_string_view<std::uint8_t> payload;
            while (decoder.next(payload)) {
                ASSERT_TRUE(is_valid_envelope(payload));
                EXPECT_EQ(wire::Getenvelope(payload.data())->body_as_response_data()->request(),
                          frames++);
            }
        }
        EXPECT_EQ(frames, 3U);
        EXPECT_FALSE(decoder.is_mid_frame());
    }
}

TEST(request_guard, finds_what_the_library_lets_pass) {
    const auto finding = [](const std::string& head) {
        return check_head(head + "\r\n\r\n", 100).finding;
    };
    EXPECT_EQ(check_head("POST / HTTP/1.1\r\n", 100).finding, guard_finding::incomplete);
    EXPECT_EQ(finding("GET / HTTP/1.1"), guard_finding::accepted);
    EXPECT_EQ(finding("POST / HTTP/1.1\r\ncontent-length: 100"), guard_finding::accepted);
    EXPECT_EQ(finding("POST / HTTP/1.1\r\nContent-Length: 101"), guard_finding::body_too_large);
    EXPECT_EQ(finding("POST / HTTP/1.1\r\nContent-Length: -1"), guard_finding::bad_length);
    EXPECT_EQ(finding("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999"),
              guard_finding::bad_length);
    EXPECT_EQ(finding("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2"),
              guard_finding::bad_length);
    EXPECT_EQ(finding("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 2"),
              guard_finding::bad_coding);
    EXPECT_EQ(finding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip"), guard_finding::bad_coding);
    EXPECT_EQ(check_head(std::string(largest_head + 1, 'x'), 100).finding,
              guard_finding::head_too_large);
}

} // namespace
