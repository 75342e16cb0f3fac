#include "connection/server_connection.h"

#include <algorithm>
#include <cerrno>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

constexpr std::size_t max_parts_per_write = 64;
constexpr std::size_t joined_part_size = 16 * kibibyte;
/// Time for a client to close its side after the last response. A client that was still sending
/// would get a reset, which discards what it has not received yet (RFC 9112, section 9.6).
constexpr milliseconds client_close_timeout{2000};

} // namespace

server_connection::server_connection(asio::io_context& loop, int descriptor,
                                     std::shared_ptr<buffer_budget> unsent)
    : socket_(std::in_place, asio::make_strand(loop)), budget_(std::move(unsent)) {
    asio::error_code ec;
    socket_->assign(asio::ip::tcp::v4(), ::dup(descriptor), ec);
    is_open_ = !ec;
    if (!is_open_) {
        // No file was left for the duplicate. Nothing was read, so the client may send it
        // elsewhere.
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

/// Posts a member function to the loop. The caller must hold the mutex, which keeps the socket and
/// its loop from being released meanwhile.
void server_connection::post_locked(void (server_connection::*step)()) {
    if (socket_) {
        asio::post(socket_->get_executor(), [self = shared_from_this(), step] { (*self.*step)(); });
    }
}

bool server_connection::send(std::string bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return send_locked(std::move(bytes));
}

void server_connection::send_last(std::string bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    send_locked(std::move(bytes));
    end_response_locked();
}

bool server_connection::send_locked(std::string bytes) {
    if (!is_open_ || is_closing_) {
        return false;
    }
    const auto unwritten = static_cast<std::size_t>(accepted_bytes_ - written_bytes_);
    if (!unsent_.resize(budget_, unwritten + bytes.size())) {
        // What waits for a client that does not read would take the memory of all others.
        log_event(log_level::warning, "caller_too_slow", {{"unsent_bytes", unwritten}});
        is_closing_ = true;
        post_locked(&server_connection::close_socket);
        return false;
    }
    accepted_bytes_ += static_cast<std::int64_t>(bytes.size());
    // Small parts, such as the events of a stream, would take several times their bytes.
    if (!queue_.empty() && queue_.back().size() + bytes.size() <= joined_part_size) {
        queue_.back().reserve(joined_part_size);
        queue_.back() += bytes;
    } else {
        queue_.push_back(std::move(bytes));
    }
    if (!is_writing_) {
        is_writing_ = true;
        post_locked(&server_connection::write_queued);
    }
    return true;
}

void server_connection::write_queued() {
    bool is_done = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::size_t count = std::min(queue_.size(), max_parts_per_write);
        for (std::size_t i = 0; i < count; ++i) {
            in_flight_.push_back(std::move(queue_.front()));
            queue_.pop_front();
        }
        is_writing_ = !in_flight_.empty();
        is_done = is_closing_ && !is_writing_;
        if (is_done) {
            set_reset_on_close_locked(false);
        }
    }
    if (is_done) {
        end_output();
    }
    if (in_flight_.empty()) {
        return;
    }
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(in_flight_.size());
    for (const auto& part : in_flight_) {
        buffers.emplace_back(part.data(), part.size());
    }
    const auto count_and_continue = [this, written_before = written_bytes_.load()](
                                        const asio::error_code& ec, std::size_t size) {
        written_bytes_ = written_before + static_cast<std::int64_t>(size);
        return asio::transfer_all()(ec, size);
    };
    asio::async_write(*socket_, buffers, count_and_continue,
                      [self = shared_from_this()](const asio::error_code& ec, std::size_t) {
                          self->handle_written(ec);
                      });
}

void server_connection::handle_written(const asio::error_code& ec) {
    in_flight_.clear();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        unsent_.resize(budget_, static_cast<std::size_t>(accepted_bytes_ - written_bytes_));
    }
    if (ec) {
        close_socket();
        return;
    }
    write_queued();
}

/// A last response may end with its connection, so an orderly close in the middle would look like
/// its end. Set on the socket at once, a reset also follows when the process is killed.
void server_connection::set_reset_on_close_locked(bool is_reset) {
    if (!socket_) {
        return;
    }
    is_reset_on_close_ = is_reset;
    // Not through asio, which would clear the option in the destructor of the socket.
    const linger option{is_reset ? 1 : 0, 0};
    ::setsockopt(socket_->native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

/// Ends the connection in order. Its input is still read, until the client closes it too.
void server_connection::end_output() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_output_ended_ = true;
        phase_since_ = std::chrono::steady_clock::now();
    }
    asio::error_code ignored;
    socket_->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void server_connection::close_socket() {
    bool is_reset = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_reset_on_close_ && written_bytes_ == accepted_bytes_) {
            set_reset_on_close_locked(false);
        }
        is_reset = is_reset_on_close_;
        is_open_ = false;
        is_writing_ = false;
        queue_.clear();
        unsent_ = {};
    }
    // This also shuts down the connection of Pistache's descriptor, which Pistache then closes. A
    // reset is sent with the last close; the end of an orderly shutdown must not precede it.
    asio::error_code ignored;
    socket_->shutdown(is_reset ? asio::ip::tcp::socket::shutdown_receive
                               : asio::ip::tcp::socket::shutdown_both,
                      ignored);
    socket_->close(ignored);
}

void server_connection::close_now() {
    const std::lock_guard<std::mutex> lock(mutex_);
    post_locked(&server_connection::close_socket);
}

void server_connection::release_socket() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_open_ = false;
    queue_.clear();
    unsent_ = {};
    socket_.reset();
}

void server_connection::record_input(connection_phase phase, std::size_t bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    // begin_request() handles a client that sends its next request before the response ended.
    const bool is_same_head = phase == connection_phase::head && phase_ == phase;
    if (is_closing_ || phase_ == connection_phase::responding || is_same_head) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (phase == connection_phase::body && phase_ != phase) {
        progress_ = {now, 0};
    }
    progress_.bytes += bytes;
    phase_ = phase;
    phase_since_ = now;
}

/// Lets the idle time begin once the client has taken the last response. It also restarts whenever
/// the client takes a part, so that a client that takes nothing is still closed.
void server_connection::record_progress_locked(time_point now) {
    if (!is_open_ || !socket_ || !is_draining_ || phase_ != connection_phase::idle) {
        return;
    }
    int unacknowledged = 0;
    const std::int64_t written = written_bytes_;
    if (::ioctl(socket_->native_handle(), SIOCOUTQ, &unacknowledged) != 0) {
        return;
    }
    const std::int64_t taken = written - unacknowledged;
    is_draining_ = is_writing_ || unacknowledged > 0;
    if (!is_draining_ || taken > taken_bytes_) {
        phase_since_ = now;
        taken_bytes_ = taken;
    }
}

timeout_action server_connection::choose_action_locked(const connection_limits& limits,
                                                       time_point now) {
    if (!is_open_) {
        return timeout_action::keep;
    }
    if (phase_ == connection_phase::body && !is_closing_ &&
        is_body_too_slow(progress_, now, limits)) {
        return timeout_action::refuse;
    }
    const milliseconds since(elapsed_ms(phase_since_, now));
    return is_output_ended_ && since >= client_close_timeout
               ? timeout_action::close
               : choose_timeout_action(phase_, since, limits);
}

timeout_action server_connection::check_timeouts(const connection_limits& limits, time_point now) {
    timeout_action action{};
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        record_progress_locked(now);
        action = choose_action_locked(limits, now);
        // A request that comes before the close below must not be handled.
        is_closing_ = is_closing_ || action == timeout_action::close;
    }
    if (action == timeout_action::refuse) {
        refuse_unfinished_request(
            "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    } else if (action == timeout_action::close) {
        close_now();
    }
    return action;
}

bool server_connection::is_receiving_locked() const {
    const bool is_unfinished = phase_ == connection_phase::head || phase_ == connection_phase::body;
    return is_unfinished && is_open_ && !is_closing_;
}

void server_connection::refuse_unfinished_request(std::string_view response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_receiving_locked()) {
        return;
    }
    is_last_response_ = true;
    send_locked(std::string(response));
    end_response_locked();
}

/// A connection whose output has ended only waits for its client to close it.
bool server_connection::is_idle_locked() const {
    const bool is_between_requests = !is_closing_ && phase_ == connection_phase::idle;
    return is_open_ && !is_writing_ && (is_between_requests || is_output_ended_);
}

std::optional<time_point> server_connection::idle_since() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_idle_locked() ? std::optional(phase_since_) : std::nullopt;
}

std::optional<time_point> server_connection::stalled_since() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_receiving_locked() ? std::optional(phase_since_) : std::nullopt;
}

void server_connection::close_if_idle_since(time_point latest) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_idle_locked() && phase_since_ <= latest) {
        is_closing_ = true;
        post_locked(&server_connection::close_socket);
    }
}

bool server_connection::begin_request() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (phase_ == connection_phase::responding) {
        is_last_response_ = true;
        return false;
    }
    if (!is_open_ || is_closing_) {
        return false;
    }
    phase_ = connection_phase::responding;
    return true;
}

void server_connection::close_after_response() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_last_response_ = true;
}

void server_connection::end_response() {
    const std::lock_guard<std::mutex> lock(mutex_);
    end_response_locked();
}

void server_connection::end_response_locked() {
    phase_ = connection_phase::idle;
    is_draining_ = true;
    phase_since_ = std::chrono::steady_clock::now();
    disconnect_callback_ = nullptr;
    is_closing_ = is_closing_ || is_last_response_;
    if (is_closing_ && is_writing_ && is_open_) {
        set_reset_on_close_locked(true);
    } else if (is_closing_ && !is_writing_) {
        post_locked(&server_connection::end_output);
    }
}

void server_connection::handle_disconnect() {
    std::function<void()> callback;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_open_ = false;
        callback.swap(disconnect_callback_);
    }
    close_now();
    if (callback) {
        callback();
    }
}

bool server_connection::is_open() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_open_;
}

bool server_connection::has_unsent_bytes() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_open_ && is_writing_;
}

bool server_connection::has_client_left() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_open_ || !socket_) {
        return true;
    }
    char next = 0;
    const auto size = ::recv(socket_->native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void server_connection::on_disconnect(std::function<void()> callback) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_open_) {
            disconnect_callback_ = std::move(callback);
            return;
        }
    }
    callback();
}

} // namespace citronseam
