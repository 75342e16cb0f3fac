/// @file
/// Stand-in for an HTTP server that answers with given bytes and closes each connection.
#ifndef CITRONSEAM_TESTS_SUPPORT_RAW_SERVER_H
#define CITRONSEAM_TESTS_SUPPORT_RAW_SERVER_H

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <asio.hpp>

#include "citronseam/connection/io_thread_pool.h"

namespace citronseam::harness {

/// Answers each request with the bytes that a function returns, and closes the connection.
class raw_server {
public:
    /// @param answer called with the head of each request; runs on the server's thread
    explicit raw_server(std::function<std::string(const std::string& head)> answer);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    /// @return `host:port`
    std::string address() const { return address_; }
    /// @return number of requests received
    int request_count() const { return request_count_; }
    /// @return number of connections accepted
    int connection_count() const { return connection_count_; }
    /// Refuses connections from the next answer on, which ends with its connection as usual.
    void crash_with_next_answer() { is_crashing_ = true; }

private:
    struct connection;
    void accept();
    void answer(const std::shared_ptr<connection>& accepted);

    std::function<std::string(const std::string&)> answer_;
    std::atomic<int> request_count_{0};
    std::atomic<int> connection_count_{0};
    std::atomic<bool> is_crashing_{false};
    io_thread_pool loop_{1};
    asio::ip::tcp::acceptor acceptor_;
    std::string address_;
};

} // namespace citronseam::harness

#endif
