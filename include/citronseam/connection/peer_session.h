/// @file
/// One TCP connection between two processes.
#ifndef CITRONSEAM_CONNECTION_PEER_SESSION_H
#define CITRONSEAM_CONNECTION_PEER_SESSION_H

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <asio.hpp>

#include "citronseam/connection/frame.h"
#include "citronseam/connection/peer_silence.h"
#include "citronseam/connection/wire_message.h"
#include "citronseam/process/clock.h"
#include "citronseam/process/sizes.h"
#include "citronseam/request/buffer_budget.h"

namespace citronseam {

class peer_session;

/// Limits what all sessions of this process hold. Call it before the first one starts.
/// @param receive_limit bytes of large frames that are being received
/// @param queue_limit   bytes that may wait to be sent on one session
void set_peer_memory(std::size_t receive_limit, std::size_t queue_limit);

/// Callbacks of a session. All of them run on the session's strand and must not block.
struct session_observer {
    /// The peer's hello was received and its protocol version matches.
    std::function<void(const std::shared_ptr<peer_session>&, const wire::hello&)> on_hello;
    /// A message after the hello was received. The envelope is valid during the call only.
    std::function<void(const std::shared_ptr<peer_session>&, const wire::envelope&)> on_message;
    /// The connection was closed; called exactly once.
    std::function<void(const std::shared_ptr<peer_session>&, close_reason)> on_closed;
    /// Returns the next heartbeat frame of a session; no frame is sent for a null pointer.
    std::function<shared_frame(const std::shared_ptr<peer_session>&)> make_heartbeat;
};

/// Largest read, in bytes. Small, since a process may have a hundred sessions, most of which carry
/// small frames.
constexpr std::size_t read_buffer_size = 16 * kibibyte;

/// One connection. It keeps itself alive while an operation is pending, so its owner may release it
/// at any time.
class peer_session : public std::enable_shared_from_this<peer_session> {
public:
    /// @param socket   connected socket whose executor is a strand
    /// @param hello    first frame to send
    /// @param timing   heartbeat interval and silence timeout
    /// @param observer receives the events of the session
    peer_session(asio::ip::tcp::socket socket, shared_frame hello, session_timing timing,
                 session_observer observer);

    /// Sends the hello and starts reading.
    void start();

    /// Queues a frame. Frames are sent in the order of the calls. May be called from any thread.
    /// @return false when the connection is closed; the frame will not be sent
    bool send(shared_frame frame);

    /// Closes the connection. May be called from any thread.
    void close(close_reason reason);

    /// Replaces the silence timeout. Must run on the session's executor.
    /// @param confirmation timeout of a peer whose last bytes waited while this process did not run
    void set_silence_timeout(milliseconds timeout, milliseconds confirmation) {
        timing_.silence_timeout = timeout;
        timing_.confirmation_timeout = confirmation;
    }

    /// @return whether the connection is open. May be called from any thread.
    bool is_open() const noexcept { return is_open_.load(std::memory_order_acquire); }

    /// @return bytes queued and not yet passed to the operating system. May be called from any
    /// thread.
    std::size_t queued_bytes() const noexcept { return queued_bytes_.load(); }

    /// @return bytes sent since the last call, frame headers included
    std::uint64_t consume_sent_bytes() noexcept { return sent_bytes_.exchange(0); }
    /// @return bytes received since the last call
    std::uint64_t consume_received_bytes() noexcept { return received_bytes_.exchange(0); }

    /// @return whether a part of a frame was received. May be called from any thread.
    bool is_receiving_frame() const noexcept { return is_receiving_frame_.load(); }

    /// @return the id of the session, unique within this process
    std::uint64_t number() const noexcept { return number_; }

    /// @return the executor on which the observer's functions run
    asio::any_io_executor executor() { return socket_.get_executor(); }

private:
    void read_more();
    void handle_bytes(std::size_t size);
    bool handle_frame(std::basic_string_view<std::uint8_t> payload);
    void write_queued();
    void tick();
    void close_now(close_reason reason);

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    session_timing timing_;
    peer_silence silence_; ///< used on the session's executor only
    session_observer observer_;
    std::uint64_t number_;

    frame_decoder decoder_;
    buffer_share received_; ///< of `decoder_`
    std::array<std::uint8_t, read_buffer_size> read_buffer_{};
    bool has_hello_{false};

    std::mutex queue_mutex_;
    std::deque<shared_frame> queue_;
    bool is_writing_{false};
    std::vector<shared_frame> in_flight_;

    std::atomic<bool> is_open_{true};
    std::atomic<bool> is_receiving_frame_{false};
    std::atomic<std::size_t> queued_bytes_{0};
    std::atomic<std::uint64_t> sent_bytes_{0};
    std::atomic<std::uint64_t> received_bytes_{0};
};

} // namespace citronseam

#endif
