#include "citronseam/connection/peer_session.h"
#include "citronseam/process/sizes.h"

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

/// A session with more unsent bytes than this is closed, which bounds memory and detects a stalled
/// connection before the silence timeout.
constexpr std::size_t default_max_queued_bytes = 64 * mebibyte;
constexpr std::size_t max_frames_per_write = 64;

/// Buffers up to this size are not counted towards the budget of large frames.
constexpr std::size_t small_buffer_size = 64 * kibibyte;

/// @return the memory for the large frames that all sessions of this process are receiving
std::shared_ptr<buffer_budget>& receive_budget() {
    static auto budget = std::make_shared<buffer_budget>();
    return budget;
}

std::atomic<std::size_t>& max_queued_bytes() {
    static std::atomic<std::size_t> bytes{default_max_queued_bytes};
    return bytes;
}

std::size_t large_buffer_size(const frame_decoder& decoder) noexcept {
    return decoder.capacity() > small_buffer_size ? decoder.capacity() : 0;
}

std::uint64_t next_number() {
    static std::atomic<std::uint64_t> counter{0};
    return ++counter;
}

} // namespace

void set_peer_memory(std::size_t receive_limit, std::size_t queue_limit) {
    receive_budget() = std::make_shared<buffer_budget>(receive_limit);
    max_queued_bytes() = queue_limit;
}

peer_session::peer_session(asio::ip::tcp::socket socket, shared_frame hello, session_timing timing,
                           session_observer observer)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), timing_(timing),
      observer_(std::move(observer)), number_(next_number()) {
    silence_.last_heard_at = std::chrono::steady_clock::now();
    silence_.last_run_at = silence_.last_heard_at;
    queue_.push_back(std::move(hello));
    decoder_.set_max_size(max_hello_size);
}

void peer_session::start() {
    asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
        asio::error_code ignored;
        self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->write_queued();
        self->read_more();
        self->tick();
    });
}

bool peer_session::send(shared_frame frame) {
    if (!is_open()) {
        return false;
    }
    const std::size_t size = frame->size();
    bool must_start_write = false;
    {
        const std::lock_guard<std::mutex> lock(queue_mutex_);
        must_start_write = queue_.empty() && !is_writing_;
        queue_.push_back(std::move(frame));
    }
    if (queued_bytes_.fetch_add(size) + size > max_queued_bytes()) {
        close(close_reason::send_queue_full);
        return false;
    }
    if (must_start_write) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->write_queued(); });
    }
    return true;
}

void peer_session::close(close_reason reason) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), reason] { self->close_now(reason); });
}

void peer_session::read_more() {
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](const asio::error_code& ec, std::size_t size) {
            if (ec) {
                const bool is_eof = ec == asio::error::eof;
                self->close_now(is_eof ? close_reason::closed_by_peer : close_reason::socket_error);
                return;
            }
            self->handle_bytes(size);
        });
}

void peer_session::handle_bytes(std::size_t size) {
    received_bytes_ += size;
    record_receipt(silence_, timing_, std::chrono::steady_clock::now());
    decoder_.feed(read_buffer_.data(), size);
    std::basic_string_view<std::uint8_t> payload;
    while (is_open() && decoder_.next(payload)) {
        if (!handle_frame(payload)) {
            return;
        }
    }
    is_receiving_frame_ = decoder_.has_partial_frame();
    if (decoder_.is_oversized()) {
        close_now(close_reason::frame_too_large);
    } else if (!received_.resize(receive_budget(), large_buffer_size(decoder_))) {
        close_now(close_reason::no_room);
    }
    if (is_open()) {
        read_more();
    }
}

bool peer_session::handle_frame(std::basic_string_view<std::uint8_t> payload) {
    if (!is_valid_envelope(payload)) {
        close_now(close_reason::invalid_frame);
        return false;
    }
    const wire::envelope* envelope = wire::Getenvelope(payload.data());
    if (has_hello_) {
        observer_.on_message(shared_from_this(), *envelope);
        return true;
    }
    const wire::hello* hello = envelope->body_as_hello();
    if (hello == nullptr || hello->protocol() != wire_protocol_version) {
        close_now(close_reason::wrong_protocol);
        return false;
    }
    has_hello_ = true;
    decoder_.set_max_size(max_frame_size);
    observer_.on_hello(shared_from_this(), *hello);
    return true;
}

void peer_session::write_queued() {
    {
        const std::lock_guard<std::mutex> lock(queue_mutex_);
        if (is_writing_ || queue_.empty() || !is_open()) {
            return;
        }
        is_writing_ = true;
        while (!queue_.empty() && in_flight_.size() < max_frames_per_write) {
            in_flight_.push_back(std::move(queue_.front()));
            queue_.pop_front();
        }
    }
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(in_flight_.size());
    for (const auto& frame : in_flight_) {
        buffers.emplace_back(frame->data(), frame->size());
    }
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](const asio::error_code& ec, std::size_t size) {
                          self->in_flight_.clear();
                          self->sent_bytes_ += size;
                          self->queued_bytes_ -= std::min(size, self->queued_bytes_.load());
                          {
                              const std::lock_guard<std::mutex> lock(self->queue_mutex_);
                              self->is_writing_ = false;
                          }
                          if (ec) {
                              self->close_now(close_reason::socket_error);
                              return;
                          }
                          self->write_queued();
                      });
}

void peer_session::tick() {
    if (!is_open()) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    record_check(silence_, timing_, now);
    if (is_peer_lost(silence_, timing_, now)) {
        close_now(close_reason::receive_timeout);
        return;
    }
    if (has_hello_ && observer_.make_heartbeat) {
        if (shared_frame heartbeat = observer_.make_heartbeat(shared_from_this())) {
            send(std::move(heartbeat));
        }
    }
    timer_.expires_after(timing_.heartbeat_interval);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& ec) {
        if (!ec) {
            self->tick();
        }
    });
}

void peer_session::close_now(close_reason reason) {
    if (!is_open_.exchange(false)) {
        return;
    }
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    received_ = {};
    observer_.on_closed(shared_from_this(), reason);
    // The callbacks may hold references to this session; clearing them breaks the cycle.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->observer_ = {}; });
}

} // namespace citronseam
