/// @file
/// A link between two processes that a test can cut or make silent.
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

namespace citronseam::harness {

/// Carries TCP connections to a target on loopback.
class relay {
public:
    /// @param target `host:port`; may be set later
    explicit relay(std::string target = "");
    ~relay();

    /// @return `host:port` to connect to
    std::string address() const;
    /// Sets where new connections go.
    void set_target(std::string target);
    /// Stops carrying bytes on the connections that are open, without closing them. New
    /// connections work: something between the two ends has lost track of the old ones.
    void silence_open_connections();
    /// Changes one byte in each of that many larger blocks on their way to the target.
    void corrupt_blocks(int count) { corrupt_left_ = count; }
    /// Holds back what callers send, without loss, until it is called with false.
    void set_held(bool is_held);
    /// @return blocks that are held back now
    int held_blocks() const { return held_blocks_; }
    /// Cuts all connections and refuses new ones until it is called with false.
    void set_cut(bool is_cut);

private:
    struct carried_pair;
    void carry(asio::ip::tcp::socket caller);
    void pump(const std::shared_ptr<carried_pair>& pair, bool is_forward);
    void pass_on(const std::shared_ptr<carried_pair>& pair, bool is_forward, std::size_t size);

    mutable std::mutex mutex_;
    std::string target_;
    bool is_cut_{false};
    std::atomic<int> corrupt_left_{0};
    std::atomic<bool> is_held_{false};
    std::atomic<int> held_blocks_{0};
    std::vector<std::function<void()>> held_; ///< loop thread only
    std::vector<std::weak_ptr<carried_pair>> pairs_;
    io_threads loop_{1};
    std::shared_ptr<peer_listener> listener_;
};

} // namespace citronseam::harness

#endif
