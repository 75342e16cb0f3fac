#include "connection/server_connection.h"

#include <algorithm>

#include <unistd.h>

#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

/// A caller that leaves more than this unread is cut: memory stays bounded.
constexpr std::size_t most_queued_bytes = 32 * mebibyte;
constexpr std::size_t most_parts_per_write = 64;

} // namespace

server_connection::server_connection(asio::io_context& loop, int descriptor)
    : socket_(std::in_place, asio::make_strand(loop)) {
    asio::error_code problem;
    socket_->assign(asio::ip::tcp::v4(), ::dup(descriptor), problem);
    is_open_ = !problem;
}

/// Runs a step on the loop. With the mutex held, so that the loop is there.
void server_connection::post_locked(void (server_connection::*step)()) {
    if (socket_) {
        asio::post(socket_->get_executor(), [self = shared_from_this(), step] { (*self.*step)(); });
    }
}

bool server_connection::send(std::string bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_open_ || is_ending_) {
        return false;
    }
    queued_bytes_ += bytes.size();
    queue_.push_back(std::move(bytes));
    if (!is_writing_) {
        is_writing_ = true;
        post_locked(&server_connection::write_queued);
    }
    return true;
}

void server_connection::write_queued() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::size_t count = std::min(queue_.size(), most_parts_per_write);
        for (std::size_t i = 0; i < count; ++i) {
            queued_bytes_ -= queue_.front().size();
            in_flight_.push_back(std::move(queue_.front()));
            queue_.pop_front();
        }
        is_writing_ = !in_flight_.empty();
    }
    if (in_flight_.empty()) {
        return;
    }
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(in_flight_.size());
    for (const auto& part : in_flight_) {
        buffers.emplace_back(part.data(), part.size());
    }
    asio::async_write(*socket_, buffers,
                      [self = shared_from_this()](const asio::error_code& problem, std::size_t) {
                          self->handle_written(problem);
                      });
}

void server_connection::handle_written(const asio::error_code& problem) {
    in_flight_.clear();
    bool is_too_slow = false;
    bool is_done = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_too_slow = queued_bytes_ > most_queued_bytes;
        is_done = is_ending_ && queue_.empty();
    }
    if (problem || is_too_slow || is_done) {
        close_socket();
        return;
    }
    write_queued();
}

void server_connection::close_socket() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_open_ = false;
        is_writing_ = false;
        queue_.clear();
    }
    // The library's descriptor is shut down with this one and closes itself.
    asio::error_code ignored;
    socket_->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_->close(ignored);
}

void server_connection::cut() {
    const std::lock_guard<std::mutex> lock(mutex_);
    post_locked(&server_connection::close_socket);
}

void server_connection::release() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_open_ = false;
    queue_.clear();
    socket_.reset();
}

void server_connection::note_input(connection_phase phase) {
    const std::lock_guard<std::mutex> lock(mutex_);
    // A caller that sends its next request too early is dealt with by begin_request().
    const bool is_same_head = phase == connection_phase::head && phase_ == phase;
    if (phase_ == connection_phase::answering || is_same_head) {
        return;
    }
    phase_ = phase;
    phase_since_ = std::chrono::steady_clock::now();
}

void server_connection::check_time(const connection_limits& limits, time_point now) {
    time_verdict verdict{};
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        verdict = is_open_ ? judge_time(phase_, milliseconds(elapsed_ms(phase_since_, now)), limits)
                           : time_verdict::keep;
    }
    if (verdict == time_verdict::refuse && begin_request()) {
        close_after_answer();
        send("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        end_answer();
    } else if (verdict == time_verdict::close) {
        cut();
    }
}

bool server_connection::begin_request() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (phase_ == connection_phase::answering) {
        is_last_answer_ = true;
        return false;
    }
    phase_ = connection_phase::answering;
    return true;
}

void server_connection::close_after_answer() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_last_answer_ = true;
}

void server_connection::end_answer() {
    bool is_written = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        phase_ = connection_phase::idle;
        phase_since_ = std::chrono::steady_clock::now();
        callback_ = nullptr;
        is_ending_ = is_last_answer_;
        is_written = is_ending_ && !is_writing_;
    }
    if (is_written) {
        cut();
    }
}

void server_connection::mark_closed() {
    std::function<void()> callback;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_open_ = false;
        callback.swap(callback_);
    }
    cut();
    if (callback) {
        callback();
    }
}

bool server_connection::is_open() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_open_;
}

void server_connection::on_closed(std::function<void()> callback) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_open_) {
            callback_ = std::move(callback);
            return;
        }
    }
    callback();
}

} // namespace citronseam
