#include "support/raw_server.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

#include <fcntl.h>

#include "support/standin_http.h"

namespace citronseam::harness {
namespace {

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view length_field = "content-length:";

/// @return bytes of the body that the head announces; 0 if it announces none
std::size_t body_size(std::string head) {
    std::transform(head.begin(), head.end(), head.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    auto found = head.find(length_field);
    if (found == std::string::npos) {
        return 0;
    }
    found = head.find_first_not_of(' ', found + length_field.size());
    std::size_t size = 0;
    std::from_chars(head.data() + found, head.data() + head.size(), size);
    return size;
}

} // namespace

struct raw_server::connection {
    explicit connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()) {}

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string input;
    std::string head;
    std::string response;
    std::string late_bytes;
};

raw_server::raw_server(std::function<std::string(const std::string&)> answer)
    : raw_server([answer = std::move(answer)](const std::string& head) {
          return raw_answer{answer(head), raw_ending::close, {}, {}};
      }) {}

raw_server::raw_server(std::function<raw_answer(const std::string&)> answer)
    : answer_(std::move(answer)),
      acceptor_(loop_.context(), {asio::ip::make_address("127.0.0.1"), 0}),
      address_(loopback_address(acceptor_.local_endpoint().port())) {
    // Processes that the test starts must not keep the port open.
    fcntl(acceptor_.native_handle(), F_SETFD, FD_CLOEXEC);
    accept();
}

raw_server::~raw_server() {
    loop_.stop();
}

void raw_server::accept() {
    acceptor_.async_accept([this](const asio::error_code& ec, asio::ip::tcp::socket socket) {
        if (ec) {
            return;
        }
        ++connection_count_;
        read_request(std::make_shared<connection>(std::move(socket)));
        accept();
    });
}

void raw_server::read_request(const connection_pointer& accepted) {
    asio::async_read_until(
        accepted->socket, asio::dynamic_buffer(accepted->input), std::string(head_end),
        [this, accepted](const asio::error_code& error, std::size_t size) {
            if (error) {
                return;
            }
            accepted->head = accepted->input.substr(0, size);
            accepted->input.erase(0, size);
            const std::size_t body = body_size(accepted->head);
            const std::size_t missing =
                body > accepted->input.size() ? body - accepted->input.size() : 0;
            asio::async_read(accepted->socket, asio::dynamic_buffer(accepted->input),
                             asio::transfer_exactly(missing),
                             [this, accepted, body](const asio::error_code& failed, std::size_t) {
                                 if (!failed) {
                                     accepted->input.erase(0, body);
                                     answer(accepted);
                                 }
                             });
        });
}

void raw_server::answer(const connection_pointer& accepted) {
    ++request_count_;
    previous_answer_ = accepted->response;
    const raw_answer answered = answer_(accepted->head);
    accepted->response = answered.bytes;
    if (is_crashing_) {
        asio::error_code ignored;
        acceptor_.close(ignored);
    }
    if (is_hanging_) {
        stop_accepting();
    }
    asio::async_write(accepted->socket, asio::buffer(accepted->response),
                      [this, accepted, answered](const asio::error_code&, std::size_t) {
                          if (!answered.late_bytes.empty()) {
                              send_late(accepted, answered);
                          }
                          end(accepted, answered.ending);
                      });
}

/// Fills the queue of the listener, so that the operating system ignores further connections.
void raw_server::stop_accepting() {
    constexpr std::size_t queue_size = 8;
    asio::error_code ignored;
    acceptor_.cancel(ignored);
    acceptor_.listen(0, ignored);
    queued_.reserve(queue_size);
    while (queued_.size() < queue_size) {
        asio::ip::tcp::socket& socket = queued_.emplace_back(loop_.context());
        socket.async_connect(acceptor_.local_endpoint(), [](const asio::error_code&) {});
    }
}

void raw_server::accept_again() {
    asio::post(loop_.context(), [this] {
        is_hanging_ = false;
        queued_.clear();
        acceptor_.listen();
        accept();
    });
}

void raw_server::send_late(const connection_pointer& accepted, const raw_answer& answered) {
    accepted->late_bytes = answered.late_bytes;
    accepted->timer.expires_after(answered.late_delay);
    accepted->timer.async_wait([accepted](const asio::error_code& ec) {
        if (!ec) {
            asio::error_code ignored;
            asio::write(accepted->socket, asio::buffer(accepted->late_bytes), ignored);
        }
    });
}

void raw_server::end(const connection_pointer& accepted, raw_ending ending) {
    asio::error_code ignored;
    switch (ending) {
    case raw_ending::close:
        accepted->socket.shutdown(asio::socket_base::shutdown_send, ignored);
        break;
    case raw_ending::reset:
        accepted->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        accepted->socket.close(ignored);
        break;
    case raw_ending::silence:
        // Keeps the connection open until the client closes it.
        ++waiting_count_;
        accepted->socket.async_wait(
            asio::socket_base::wait_read,
            [this, accepted](const asio::error_code&) { --waiting_count_; });
        break;
    case raw_ending::keep:
        read_request(accepted);
        break;
    }
}

} // namespace citronseam::harness
