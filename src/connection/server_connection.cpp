#include "connection/server_connection.h"

#include <sys/socket.h>

namespace citronseam {

server_connection::server_connection(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
    : peer_(peer) {}

bool server_connection::send(std::string bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (peer_ == nullptr) {
        return false;
    }
    const std::size_t size = bytes.size();
    peer_->send(Pistache::RawBuffer(std::move(bytes), size), MSG_NOSIGNAL);
    return true;
}

void server_connection::cut() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (peer_ != nullptr) {
        ::shutdown(peer_->fd(), SHUT_RDWR);
    }
}

bool server_connection::begin_request() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_answering_) {
        is_last_answer_ = true;
        return false;
    }
    is_answering_ = true;
    return true;
}

void server_connection::close_after_answer() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_last_answer_ = true;
}

void server_connection::end_answer() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_answering_ = false;
    callback_ = nullptr;
    if (is_last_answer_ && peer_ != nullptr) {
        // The answer is still in the library's queue; closing the reading side alone lets it go
        // out.
        ::shutdown(peer_->fd(), SHUT_RD);
    }
}

void server_connection::mark_closed() {
    std::function<void()> callback;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        peer_.reset();
        callback.swap(callback_);
    }
    if (callback) {
        callback();
    }
}

bool server_connection::is_open() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return peer_ != nullptr;
}

void server_connection::on_closed(std::function<void()> callback) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (peer_ != nullptr) {
            callback_ = std::move(callback);
            return;
        }
    }
    callback();
}

} // namespace citronseam
