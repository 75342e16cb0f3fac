/// @file
/// Maintains outgoing connections to a changing set of processes.
#ifndef CITRONSEAM_CONNECTION_DIALER_H
#define CITRONSEAM_CONNECTION_DIALER_H

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <asio.hpp>

#include "citronseam/connection/peer_session.h"

namespace citronseam {

/// Connects to each target and reconnects after a loss until the target is removed. The peer of a
/// lost connection may still be alive, so the first reconnect waits only the initial backoff of
/// 50 ms; each failed attempt doubles the wait, up to 1 s.
class dialer : public std::enable_shared_from_this<dialer> {
public:
    /// Targets by instance name: `host:port` of their peer address.
    using target_map = std::map<std::string, std::string>;

    /// @param context  event loop of the sockets
    /// @param hello    returns the first frame to send on a connection
    /// @param timing   heartbeat interval and silence timeout of the connections
    /// @param observer receives the events of all connections
    dialer(asio::io_context& context, std::function<shared_frame()> hello, session_timing timing,
           session_observer observer);

    /// Replaces the set of targets. Connections to removed targets are closed.
    void set_targets(target_map targets);
    /// Removes all targets.
    void stop();
    /// @return the open sessions by target name
    std::map<std::string, std::shared_ptr<peer_session>> sessions() const;

private:
    void connect(const std::string& name, const std::string& address, int failures);
    void connect_later(const std::string& name, const std::string& address, int failures);
    void handle_connected(const std::string& name, const std::string& address,
                          asio::ip::tcp::socket socket);
    bool is_target(const std::string& name, const std::string& address) const;

    asio::io_context& context_;
    std::function<shared_frame()> hello_;
    session_timing timing_;
    session_observer observer_;

    mutable std::mutex mutex_;
    target_map targets_;
    std::map<std::string, std::shared_ptr<peer_session>> sessions_;
};

} // namespace citronseam

#endif
