#include "connection/transfer_loop.h"

namespace citronseam {
namespace {

constexpr long max_cached_connections = 64;

} // namespace

/// A socket of libcurl. libcurl owns and closes the descriptor, so it is released and never closed
/// here.
struct transfer_loop::watched_socket {
    watched_socket(asio::io_context& context, curl_socket_t socket) : descriptor(context, socket) {}
    ~watched_socket() { descriptor.release(); }

    asio::posix::stream_descriptor descriptor;
    int poll_events{CURL_POLL_NONE};
    bool is_waiting_to_read{false};
    bool is_waiting_to_write{false};
    bool is_released{false};
};

transfer_loop::transfer_loop(done_handler handle_done)
    : multi_(curl_multi_init()), handle_done_(std::move(handle_done)) {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_cached_connections);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &handle_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &handle_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    thread_ = std::thread([this] { context_.run(); });
}

transfer_loop::~transfer_loop() {
    stop();
    curl_multi_cleanup(multi_);
}

void transfer_loop::post(std::function<void()> work) {
    asio::post(context_, std::move(work));
}

void transfer_loop::post_after(std::chrono::milliseconds delay, std::function<void()> work) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, work = std::move(work)](const asio::error_code& ec) {
        if (!ec) {
            work();
        }
    });
}

void transfer_loop::stop() {
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void transfer_loop::add(CURL* easy) {
    curl_multi_add_handle(multi_, easy);
}

void transfer_loop::remove(CURL* easy) {
    curl_multi_remove_handle(multi_, easy);
}

int transfer_loop::handle_socket(CURL*, curl_socket_t socket, int poll_events, void* loop, void*) {
    auto& self = *static_cast<transfer_loop*>(loop);
    if (poll_events == CURL_POLL_REMOVE) {
        self.unwatch(socket);
    } else {
        self.watch(socket, poll_events);
    }
    return 0;
}

int transfer_loop::handle_timer(CURLM*, long timeout_ms, void* loop) {
    auto& self = *static_cast<transfer_loop*>(loop);
    if (timeout_ms < 0) {
        self.timer_.cancel();
        return 0;
    }
    self.timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    self.timer_.async_wait([&self](const asio::error_code& ec) {
        if (!ec) {
            self.process_events(CURL_SOCKET_TIMEOUT, 0);
        }
    });
    return 0;
}

void transfer_loop::watch(curl_socket_t socket, int poll_events) {
    watched_pointer& watched = sockets_[socket];
    if (watched == nullptr) {
        watched = std::make_shared<watched_socket>(context_, socket);
    }
    watched->poll_events = poll_events;
    wait_readable(watched);
    wait_writable(watched);
}

void transfer_loop::unwatch(curl_socket_t socket) {
    const auto found = sockets_.find(socket);
    if (found == sockets_.end()) {
        return;
    }
    found->second->is_released = true;
    found->second->descriptor.release();
    sockets_.erase(found);
}

void transfer_loop::wait_readable(const watched_pointer& watched) {
    if (watched->is_waiting_to_read || (watched->poll_events & CURL_POLL_IN) == 0) {
        return;
    }
    watched->is_waiting_to_read = true;
    watched->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read, [this, watched](const asio::error_code& ec) {
            watched->is_waiting_to_read = false;
            if (ec || watched->is_released) {
                return;
            }
            if ((watched->poll_events & CURL_POLL_IN) != 0) {
                process_events(watched->descriptor.native_handle(), CURL_CSELECT_IN);
            }
            if (!watched->is_released) {
                wait_readable(watched);
            }
        });
}

void transfer_loop::wait_writable(const watched_pointer& watched) {
    if (watched->is_waiting_to_write || (watched->poll_events & CURL_POLL_OUT) == 0) {
        return;
    }
    watched->is_waiting_to_write = true;
    watched->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_write, [this, watched](const asio::error_code& ec) {
            watched->is_waiting_to_write = false;
            if (ec || watched->is_released) {
                return;
            }
            if ((watched->poll_events & CURL_POLL_OUT) != 0) {
                process_events(watched->descriptor.native_handle(), CURL_CSELECT_OUT);
            }
            if (!watched->is_released) {
                wait_writable(watched);
            }
        });
}

void transfer_loop::process_events(curl_socket_t socket, int events) {
    int still_running = 0;
    curl_multi_socket_action(multi_, socket, events, &still_running);
    report_completed();
}

void transfer_loop::report_completed() {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
        if (message->msg == CURLMSG_DONE) {
            handle_done_(message->easy_handle, message->data.result);
        }
    }
}

} // namespace citronseam
