#include "support/raw_server.h"

#include <utility>

#include <fcntl.h>

#include "support/standin_http.h"

namespace citronseam::harness {

struct raw_server::connection {
    explicit connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}

    asio::ip::tcp::socket socket;
    std::string head;
    std::string response;
};

raw_server::raw_server(std::function<std::string(const std::string&)> answer)
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
        auto accepted = std::make_shared<connection>(std::move(socket));
        asio::async_read_until(accepted->socket, asio::dynamic_buffer(accepted->head), "\r\n\r\n",
                               [this, accepted](const asio::error_code& error, std::size_t) {
                                   if (!error) {
                                       answer(accepted);
                                   }
                               });
        accept();
    });
}

void raw_server::answer(const std::shared_ptr<connection>& accepted) {
    ++request_count_;
    accepted->response = answer_(accepted->head);
    if (is_crashing_) {
        asio::error_code ignored;
        acceptor_.close(ignored);
    }
    asio::async_write(accepted->socket, asio::buffer(accepted->response),
                      [accepted](const asio::error_code&, std::size_t) {
                          asio::error_code ignored;
                          accepted->socket.shutdown(asio::socket_base::shutdown_send, ignored);
                      });
}

} // namespace citronseam::harness
