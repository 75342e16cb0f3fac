/// @file
/// Accepts connections from other processes.
#ifndef CITRONSEAM_CONNECTION_PEER_LISTENER_H
#define CITRONSEAM_CONNECTION_PEER_LISTENER_H

#include <functional>
#include <memory>

#include <asio.hpp>

#include "citronseam/process/settings.h"

namespace citronseam {

/// Accepts connections until it is closed.
class peer_listener : public std::enable_shared_from_this<peer_listener> {
public:
    /// Receives a new socket, whose executor is a strand of its own.
    using socket_handler = std::function<void(asio::ip::tcp::socket)>;

    /// @param context event loop of the sockets
    /// @param address local address to listen on; port 0 picks a free port
    /// @param handle  called with each accepted socket
    /// @throws std::system_error when the address cannot be bound
    peer_listener(asio::io_context& context, const host_port& address, socket_handler handle);

    /// Starts accepting.
    void start();
    /// Stops accepting.
    void close();
    /// @return the port that is bound
    std::uint16_t port() const;

private:
    void accept_next();

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    socket_handler handle_;
};

} // namespace citronseam

#endif
