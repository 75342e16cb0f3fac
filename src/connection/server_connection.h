/// @file
/// Write side of a client's connection to the HTTP server.
#ifndef CITRONSEAM_CONNECTION_SERVER_CONNECTION_H
#define CITRONSEAM_CONNECTION_SERVER_CONNECTION_H

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio.hpp>

#include "citronseam/connection/connection_limits.h"
#include "citronseam/process/clock.h"
#include "citronseam/request/buffer_budget.h"

namespace citronseam {

/// Writes to a client's socket through a duplicate of its file descriptor.
///
/// Pistache 0.0.5 reads the requests, but its write queue cannot be used from other threads: it
/// terminates the process ("could not find write data") when a client reads slowly while further
/// data is queued, and it identifies sockets by descriptor numbers, which may be reused for another
/// client. This object alone owns the duplicate, which avoids both. It keeps itself alive while a
/// write is pending.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    /// @param loop       event loop of the writes
    /// @param descriptor Pistache's socket; it is duplicated
    /// @param unsent     limits the bytes that wait for the clients of all connections
    server_connection(asio::io_context& loop, int descriptor,
                      std::shared_ptr<buffer_budget> unsent);

    /// Queues bytes. May be called from any thread. A connection whose client takes too little of
    /// what is queued is closed.
    /// @return false when the connection is closed or closing
    bool send(std::string bytes);
    /// Closes the connection at once, without flushing queued bytes.
    void close_now();
    /// Closes the socket after the loop's threads have ended and before the loop is destroyed.
    /// Remaining owners may still call the object; nothing is written any more.
    void release_socket();
    /// Records that bytes of a request were received.
    /// @param phase head or body
    /// @param bytes of the body
    void record_input(connection_phase phase, std::size_t bytes = 0);
    /// Enforces the time limits: refuses the request or closes the connection when the client takes
    /// too long. A connection is not idle while its client takes bytes of a response.
    /// @return what was done
    timeout_action check_timeouts(const connection_limits& limits, time_point now);
    /// Answers a request of which only a part was received, and closes the connection.
    void refuse_unfinished_request(std::string_view response);
    /// @return since when nothing is under way: the client may send a request, or has yet to close
    ///         the connection after its last response; none while something is
    std::optional<time_point> idle_since() const;
    /// @return since when nothing was received of an unfinished request; none without one
    std::optional<time_point> stalled_since() const;
    /// Closes the connection if it is idle, since the given time or earlier.
    void close_if_idle_since(time_point latest);
    /// Records that a request was received.
    /// @return false when it must not be handled, as it cannot be answered: the response to an
    ///         earlier request is still in progress, or the connection is closed or closing
    bool begin_request();
    /// Records that a response ended; closes the connection if that was requested or a pipelined
    /// request was received meanwhile.
    void end_response();
    /// Sends the last bytes of a response and records its end in one step: the client may send its
    /// next request as soon as it has them.
    void send_last(std::string bytes);
    /// Closes the connection after the current response. Called, for example, when the client
    /// pipelined requests, so that each of them gets a response or sees the connection close.
    void close_after_response();
    /// Records that the client closed the connection.
    void handle_disconnect();

    /// @return whether the client is connected
    bool is_open() const;
    /// @return whether bytes of responses are not with the operating system yet, which the end of
    /// the process would cut off
    bool has_unsent_bytes() const;
    /// @return whether the client has closed the connection, although that may not have been read
    /// from the socket yet
    bool has_client_left();
    /// Sets the callback of handle_disconnect() while a response is in progress. It is called at
    /// once when the connection is already closed.
    void on_disconnect(std::function<void()> callback);

private:
    void post_locked(void (server_connection::*step)());
    bool send_locked(std::string bytes);
    void end_response_locked();
    void set_reset_on_close_locked(bool is_reset);
    void record_progress_locked(time_point now);
    bool is_idle_locked() const;
    bool is_receiving_locked() const;
    timeout_action choose_action_locked(const connection_limits& limits, time_point now);
    void write_queued();
    void handle_written(const asio::error_code& ec);
    void end_output();
    void close_socket();

    std::optional<asio::ip::tcp::socket> socket_; ///< empty after release_socket()
    mutable std::mutex mutex_;
    std::deque<std::string> queue_;
    std::vector<std::string> in_flight_;
    const std::shared_ptr<buffer_budget> budget_;
    buffer_share unsent_;                        ///< accepted bytes that are not written
    std::int64_t accepted_bytes_{0};             ///< of all calls of send()
    std::atomic<std::int64_t> written_bytes_{0}; ///< given to the operating system
    std::int64_t taken_bytes_{0};                ///< taken by the client at the last check
    std::function<void()> disconnect_callback_;
    bool is_open_{true};
    bool is_writing_{false};
    connection_phase phase_{connection_phase::idle};
    time_point phase_since_{std::chrono::steady_clock::now()};
    body_progress progress_;  ///< in the phase of a body
    bool is_draining_{false}; ///< the client may not have taken the whole last response yet
    bool is_last_response_{false};
    bool is_closing_{false};
    bool is_output_ended_{false};   ///< the last response is written, the client may still send
    bool is_reset_on_close_{false}; ///< bytes of the last response are not written yet
};

} // namespace citronseam

#endif
