// Steps of one client connection in a fixed order, without the threads of a server.
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include "connection/server_connection.h"

namespace {

using namespace citronseam;

constexpr milliseconds idle_timeout{1000};

/// A connection whose posted steps run only when run() is called.
class server_connections : public ::testing::Test {
protected:
    void SetUp() override {
        asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0});
        client.connect(acceptor.local_endpoint());
        auto accepted = acceptor.accept();
        connection = std::make_shared<server_connection>(loop, accepted.native_handle());
        limits.idle_timeout = idle_timeout;
        limits.head_timeout = idle_timeout;
    }

    void TearDown() override { connection->release_socket(); }

    asio::io_context loop;
    asio::ip::tcp::socket client{loop};
    std::shared_ptr<server_connection> connection;
    connection_limits limits;
};

// Guards against LOST: a request arrives between the decision to close an idle connection and the
// close, is handled, and gets no answer.
TEST_F(server_connections, no_request_is_handled_once_an_idle_connection_is_to_be_closed) {
    connection->check_timeouts(limits, std::chrono::steady_clock::now() + idle_timeout);
    connection->record_input(connection_phase::head);
    EXPECT_FALSE(connection->begin_request());
}

// Guards against the opposite: a request that came in time is closed for the idle time before it.
TEST_F(server_connections, request_that_began_in_time_is_handled) {
    connection->record_input(connection_phase::head);
    connection->check_timeouts(limits, std::chrono::steady_clock::now() + idle_timeout / 2);
    EXPECT_TRUE(connection->begin_request());
}

} // namespace
