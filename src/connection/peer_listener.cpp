#include "citronseam/connection/peer_listener.h"

namespace citronseam {
namespace {

constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

peer_listener::peer_listener(asio::io_context& context, const host_port& address,
                             socket_handler handle)
    : context_(context),
      acceptor_(asio::make_strand(context),
                asio::ip::tcp::endpoint(asio::ip::make_address(address.host), address.port)),
      handle_(std::move(handle)) {}

void peer_listener::start() {
    accept_next();
}

void peer_listener::close() {
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        asio::error_code ignored;
        self->acceptor_.close(ignored);
    });
}

std::uint16_t peer_listener::port() const {
    return acceptor_.local_endpoint().port();
}

void peer_listener::accept_next() {
    acceptor_.async_accept(
        asio::make_strand(context_),
        [self = shared_from_this()](const asio::error_code& ec, asio::ip::tcp::socket socket) {
            if (ec == asio::error::operation_aborted || !self->acceptor_.is_open()) {
                return;
            }
            if (!ec) {
                self->handle_(std::move(socket));
                self->accept_next();
                return;
            }
            // Most likely out of file descriptors; the delay avoids a busy loop.
            auto timer = std::make_shared<asio::steady_timer>(self->acceptor_.get_executor(),
                                                              accept_retry_delay);
            timer->async_wait([self, timer](const asio::error_code&) { self->accept_next(); });
        });
}

} // namespace citronseam
