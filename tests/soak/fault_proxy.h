/// @file
/// A TCP proxy that harms the connections between two processes for a while.
#ifndef CITRONSEAM_TESTS_SOAK_FAULT_PROXY_H
#define CITRONSEAM_TESTS_SOAK_FAULT_PROXY_H

#include <memory>
#include <string>
#include <vector>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/peer_listener.h"

#include "soak/soak_plan.h"

namespace citronseam::soak {

/// Forwards TCP connections to a target on loopback, with one fault at a time.
class fault_proxy {
public:
    /// @param target `host:port`
    explicit fault_proxy(std::string target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// @return `host:port` that clients connect to
    std::string address() const;
    /// Begins a fault; fault_kind::none ends it.
    /// @param parameter byte of the first cut, later ones are elsewhere; or milliseconds of a delay
    void set_fault(fault_kind kind, std::uint64_t parameter = 0);

private:
    struct proxied_connection;
    struct pipe;
    using connection_pointer = std::shared_ptr<proxied_connection>;
    void accept_connection(asio::ip::tcp::socket client);
    void read(const connection_pointer& connection, pipe& from);
    void handle_request_bytes(const connection_pointer& connection);
    void handle_answer_bytes(const connection_pointer& connection, std::string& bytes);
    std::size_t next_cut_byte();
    void repeat_later(const connection_pointer& connection);
    void push(const connection_pointer& connection, pipe& to, std::string bytes);
    void pump(const connection_pointer& connection, pipe& to);
    bool is_held(const pipe& held) const;

    /// All members below are used on the event loop thread only.
    std::string target_;
    fault_kind kind_{fault_kind::none};
    std::uint64_t parameter_{0};
    std::uint64_t exchange_count_{0};
    std::vector<std::weak_ptr<proxied_connection>> connections_;
    std::vector<connection_pointer> silent_connections_; ///< kept open
    io_thread_pool loop_{1};
    std::shared_ptr<peer_listener> listener_;
};

} // namespace citronseam::soak

#endif
