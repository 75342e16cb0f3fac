#include "citronseam/connection/peer_listener.h"

namespace citronseam {
namespace {

constexpr std::chrono::milliseconds pause_after_problem{50};

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
        [self = shared_from_this()](const asio::error_code& problem, asio::ip::tcp::socket socket) {
            if (problem == asio::error::operation_aborted || !self->acceptor_.is_open()) {
                return;
            }
            if (!problem) {
                self->handle_(std::move(socket));
                self->accept_next();
                return;
            }
            // Out of descriptors, most likely: a pause keeps the loop from spinning.
            auto timer = std::make_shared<asio::steady_timer>(self->acceptor_.get_executor(),
                                                              pause_after_problem);
            timer->async_wait([self, timer](const asio::error_code&) { self->accept_next(); });
        });
}

} // namespace citronseam
