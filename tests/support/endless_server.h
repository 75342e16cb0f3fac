/// @file
/// Stand-in for a faulty HTTP server whose answers have no end.
#ifndef CITRONSEAM_TESTS_SUPPORT_ENDLESS_SERVER_H
#define CITRONSEAM_TESTS_SUPPORT_ENDLESS_SERVER_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <asio.hpp>

#include "citronseam/connection/io_thread_pool.h"

namespace citronseam::harness {

/// Answers each request with a first part, then with another part again and again until the client
/// closes the connection.
class endless_server {
public:
    /// @param first_part sent once
    /// @param repeated_part sent again and again
    endless_server(std::string first_part, const std::string& repeated_part);
    ~endless_server();
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    /// @return `host:port`
    std::string address() const;
    /// @return number of requests received
    int request_count() const { return request_count_; }
    /// @return number of connections that the clients closed
    int closed_count() const { return closed_count_; }
    /// @return bytes sent on all connections
    std::uint64_t sent_bytes() const { return sent_bytes_; }

    std::atomic<int> block_interval_ms{0}; ///< pause before each block of 16 KiB

private:
    struct connection;
    void accept();
    void read_request(const std::shared_ptr<connection>& accepted);
    void write(const std::shared_ptr<connection>& accepted, const std::string& part);

    const std::string first_part_;
    const std::string repeated_part_;
    std::atomic<int> request_count_{0};
    std::atomic<int> closed_count_{0};
    std::atomic<std::uint64_t> sent_bytes_{0};
    io_thread_pool loop_{1};
    asio::ip::tcp::acceptor acceptor_;
};

} // namespace citronseam::harness

#endif
