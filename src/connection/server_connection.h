/// @file
/// One caller's connection to the HTTP server: its writing side.
#ifndef CITRONSEAM_CONNECTION_SERVER_CONNECTION_H
#define CITRONSEAM_CONNECTION_SERVER_CONNECTION_H

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <asio.hpp>

#include "citronseam/connection/connection_limits.h"
#include "citronseam/process/clock.h"

namespace citronseam {

/// Writes to a caller's socket through a descriptor of its own.
///
/// Pistache 0.0.5 reads the requests, but its write queue cannot be used from other threads: it
/// ends the process ("could not find write data") when a caller reads slowly while further parts
/// are queued, and it names sockets by descriptor numbers, which another caller may get. A
/// duplicate descriptor belongs to this object alone, so that neither can happen. The object keeps
/// itself alive while a write is pending.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    /// @param loop       carries the writes
    /// @param descriptor the library's socket; it is duplicated
    server_connection(asio::io_context& loop, int descriptor);

    /// Queues bytes. May be called from any thread.
    /// @return false when the connection is closed
    bool send(std::string bytes);
    /// Cuts the connection at once.
    void cut();
    /// Gives the socket back after the loop's threads ended and before the loop does. Whoever still
    /// holds the connection may go on calling it; nothing is written any more.
    void release();
    /// Notes that bytes of a request came.
    /// @param phase head or body
    void note_input(connection_phase phase);
    /// Refuses or closes when the caller takes too long.
    void check_time(const connection_limits& limits, time_point now);
    /// Notes that a request came. @return false when an answer is still under way
    bool begin_request();
    /// Notes that an answer ended; closes the connection after it when another request came too
    /// early.
    void end_answer();
    /// Notes that the caller sent more than one request at once: after the present answer the
    /// connection is closed, so that no request is left without an answer or a closed connection.
    void close_after_answer();
    /// Notes that the caller closed the connection.
    void mark_closed();

    /// @return whether the caller is connected
    bool is_open() const;
    /// Sets what mark_closed() calls while an answer is under way.
    void on_closed(std::function<void()> callback);

private:
    void post_locked(void (server_connection::*step)());
    void write_queued();
    void handle_written(const asio::error_code& problem);
    void close_socket();

    std::optional<asio::ip::tcp::socket> socket_; ///< nothing after release()
    mutable std::mutex mutex_;
    std::deque<std::string> queue_;
    std::vector<std::string> in_flight_;
    std::size_t queued_bytes_{0};
    std::function<void()> callback_;
    bool is_open_{true};
    bool is_writing_{false};
    connection_phase phase_{connection_phase::idle};
    time_point phase_since_{std::chrono::steady_clock::now()};
    bool is_last_answer_{false};
    bool is_ending_{false};
};

} // namespace citronseam

#endif
