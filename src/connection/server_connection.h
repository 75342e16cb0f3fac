/// @file
/// One caller's connection to the HTTP server.
#ifndef CITRONSEAM_CONNECTION_SERVER_CONNECTION_H
#define CITRONSEAM_CONNECTION_SERVER_CONNECTION_H

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <pistache/peer.h>

namespace citronseam {

/// Guards the socket of a caller against use after it was closed.
///
/// Pistache queues writes by descriptor number. Were a write queued after the connection closed, it
/// could reach another caller whose connection got the same number. The mutex makes queueing and
/// closing exclude each other, and the server flushes the queue before the number is given free.
class server_connection {
public:
    /// @param peer the library's connection
    explicit server_connection(const std::shared_ptr<Pistache::Tcp::Peer>& peer);

    /// Queues bytes. @return false when the connection is closed
    bool send(std::string bytes);
    /// Cuts the connection at once.
    void cut();
    /// Notes that an answer ended; cuts the connection when another request came too early.
    void end_answer();
    /// Notes that a request came. @return false when an answer is still under way
    bool begin_request();
    /// Notes that the caller sent more than one request at once: after the present answer the
    /// connection is closed, so that no request is left without an answer or a closed connection.
    void close_after_answer();
    /// Notes that the socket is closed. Called by the server before the descriptor is given free.
    void mark_closed();

    /// @return whether the caller is connected
    bool is_open() const;
    /// Sets what mark_closed() calls while an answer is under way.
    void on_closed(std::function<void()> callback);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<Pistache::Tcp::Peer> peer_;
    std::function<void()> callback_;
    bool is_answering_{false};
    bool is_last_answer_{false};
};

} // namespace citronseam

#endif
