/// @file
/// A TCP proxy that injects network faults between two processes.
#ifndef CITRONSEAM_TESTS_SUPPORT_RELAY_H
#define CITRONSEAM_TESTS_SUPPORT_RELAY_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/peer_listener.h"
#include "citronseam/process/clock.h"

namespace citronseam::harness {

/// Link of a machine, which all connections that are given it share.
class shared_link {
public:
    explicit shared_link(std::size_t bytes_per_second) : bytes_per_second_(bytes_per_second) {}

    /// Reserves the link for a block.
    /// @return time until the block has passed
    microseconds pass(std::size_t bytes);

private:
    std::mutex mutex_;
    std::size_t bytes_per_second_;
    time_point free_at_; ///< when all blocks so far have passed
};

/// Forwards TCP connections to a target on loopback.
class relay {
public:
    /// @param target `host:port`; set_target() may set it later
    explicit relay(std::string target = "");
    ~relay();

    /// @return `host:port` that clients connect to
    std::string address() const;
    /// Sets the target of new connections.
    void set_target(std::string target);
    /// Drops all bytes on the open connections without closing them; new connections work.
    /// Simulates a NAT or firewall that lost its connection state.
    void blackhole_open_connections();
    /// Flips one bit in each of the next `count` blocks of more than 16 KiB.
    void corrupt_next_blocks(int count) { blocks_to_corrupt_ = count; }
    /// While true, buffers what clients send; false forwards the buffered blocks without loss.
    void set_forwarding_paused(bool is_paused);
    /// @return number of buffered blocks
    int paused_block_count() const { return paused_block_count_; }
    /// Limits the rate at which each connection forwards what the target sends; 0 removes the
    /// limit.
    void set_target_rate(std::size_t bytes_per_second) { target_rate_ = bytes_per_second; }
    /// Forwards what clients send this much later, in order.
    void set_client_delay(milliseconds delay) { client_delay_ms_ = delay.count(); }
    /// Lets what clients and targets send pass links that may be shared with other relays; nullptr
    /// is no link. Call it before the first connection.
    void set_links(std::shared_ptr<shared_link> of_clients, std::shared_ptr<shared_link> of_target);
    /// While true, closes all connections and refuses new ones.
    void set_disconnected(bool is_disconnected);

private:
    struct proxied_connection;
    void accept_connection(asio::ip::tcp::socket client);
    void forward_next_block(const std::shared_ptr<proxied_connection>& connection, bool is_forward);
    void write_block(const std::shared_ptr<proxied_connection>& connection, bool is_forward,
                     std::size_t size);

    mutable std::mutex mutex_;
    std::string target_;
    bool is_disconnected_{false};
    std::atomic<int> blocks_to_corrupt_{0};
    std::atomic<bool> is_forwarding_paused_{false};
    std::atomic<int> paused_block_count_{0};
    std::atomic<std::size_t> target_rate_{0}; ///< bytes per second
    std::atomic<std::int64_t> client_delay_ms_{0};
    std::shared_ptr<shared_link> client_link_;
    std::shared_ptr<shared_link> target_link_;
    std::vector<std::function<void()>> paused_writes_; ///< used on the event loop thread only
    std::vector<std::weak_ptr<proxied_connection>> connections_;
    io_thread_pool loop_{1};
    std::shared_ptr<peer_listener> listener_;
};

} // namespace citronseam::harness

#endif
