/// @file
/// Stand-in for an HTTP server that answers with given bytes.
#ifndef CITRONSEAM_TESTS_SUPPORT_RAW_SERVER_H
#define CITRONSEAM_TESTS_SUPPORT_RAW_SERVER_H

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/clock.h"

namespace citronseam::harness {

/// What a server does once it has sent its answer.
enum class raw_ending : std::uint8_t {
    close,   ///< ends the connection in order
    reset,   ///< resets the connection
    silence, ///< keeps the connection and sends nothing more
    keep     ///< reads the next request
};

/// The bytes of an answer, and how it ends.
struct raw_answer {
    std::string bytes;
    raw_ending ending{raw_ending::close};
    std::string late_bytes; ///< sent after the delay, also when the next request came before
    milliseconds late_delay{0};
};

/// Answers each request with the bytes that a function returns.
class raw_server {
public:
    /// @param answer called with the head of each request; runs on the server's thread. The
    ///               connection is closed after the answer.
    explicit raw_server(std::function<std::string(const std::string& head)> answer);
    /// @param answer called with the head of each request; runs on the server's thread
    explicit raw_server(std::function<raw_answer(const std::string& head)> answer);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    /// @return `host:port`
    std::string address() const { return address_; }
    /// @return number of requests received
    int request_count() const { return request_count_; }
    /// @return number of connections accepted
    int connection_count() const { return connection_count_; }
    /// May be called by the function that answers.
    /// @return the last answer on the present request's connection; empty on a new connection
    const std::string& previous_answer() const { return previous_answer_; }
    /// @return number of requests that were left in silence and whose client has not closed yet
    int waiting_count() const { return waiting_count_; }
    /// Refuses connections from the next answer on, which ends with its connection as usual.
    void crash_with_next_answer() { is_crashing_ = true; }
    /// Leaves connections unanswered from the next answer on, which ends with its connection as
    /// usual.
    void hang_with_next_answer() { is_hanging_ = true; }
    /// Accepts connections again, after hang_with_next_answer().
    void accept_again();

private:
    struct connection;
    using connection_pointer = std::shared_ptr<connection>;
    void accept();
    void read_request(const connection_pointer& accepted);
    void answer(const connection_pointer& accepted);
    void send_late(const connection_pointer& accepted, const raw_answer& answered);
    void stop_accepting();
    void end(const connection_pointer& accepted, raw_ending ending);

    std::function<raw_answer(const std::string&)> answer_;
    std::string previous_answer_;
    std::atomic<int> request_count_{0};
    std::atomic<int> connection_count_{0};
    std::atomic<int> waiting_count_{0};
    std::atomic<bool> is_crashing_{false};
    std::atomic<bool> is_hanging_{false};
    io_thread_pool loop_{1};
    asio::ip::tcp::acceptor acceptor_;
    std::vector<asio::ip::tcp::socket> queued_; ///< connections that fill the queue of the listener
    std::string address_;
};

} // namespace citronseam::harness

#endif
