/// @file
/// Keeps connections to a changing set of processes.
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

/// Connects to each target and connects again after a connection was lost, until the target is
/// dropped. A lost connection is no proof that the other side died, so the first new attempt is
/// made at once; later ones back off.
class dialer : public std::enable_shared_from_this<dialer> {
public:
    /// Targets by instance name: `host:port` of their peer address.
    using target_map = std::map<std::string, std::string>;

    /// @param context  loop that carries the sockets
    /// @param hello    gives the first frame of a connection
    /// @param timing   heartbeat interval and silence timeout of the connections
    /// @param observer hears what comes on all connections
    dialer(asio::io_context& context, std::function<shared_frame()> hello, session_timing timing,
           session_observer observer);

    /// Replaces the set of targets. Connections to dropped targets are closed.
    void set_targets(target_map targets);
    /// Drops all targets.
    void stop();
    /// @return the open sessions by target name
    std::map<std::string, std::shared_ptr<peer_session>> sessions() const;

private:
    void connect(const std::string& name, const std::string& address, int failures);
    void connect_later(const std::string& name, const std::string& address, int failures);
    void handle_connected(const std::string& name, const std::string& address,
                          asio::ip::tcp::socket socket);
    bool is_wanted(const std::string& name, const std::string& address) const;

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
