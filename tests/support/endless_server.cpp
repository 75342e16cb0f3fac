#include "support/endless_server.h"

#include <utility>

#include "citronseam/process/sizes.h"

#include "support/standin_http.h"

namespace citronseam::harness {
namespace {

constexpr std::size_t block_size = 16 * kibibyte;

std::string repeat(const std::string& part) {
    std::string block;
    while (block.size() < block_size) {
        block += part;
    }
    return block;
}

} // namespace

struct endless_server::connection {
    explicit connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}

    asio::ip::tcp::socket socket;
    std::string request;
};

endless_server::endless_server(std::string first_part, const std::string& repeated_part)
    : first_part_(std::move(first_part)), repeated_part_(repeat(repeated_part)),
      acceptor_(loop_.context(), {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
}

endless_server::~endless_server() {
    loop_.stop();
}

std::string endless_server::address() const {
    return loopback_address(acceptor_.local_endpoint().port());
}

void endless_server::accept() {
    acceptor_.async_accept([this](const asio::error_code& ec, asio::ip::tcp::socket socket) {
        if (!ec) {
            read_request(std::make_shared<connection>(std::move(socket)));
            accept();
        }
    });
}

void endless_server::read_request(const std::shared_ptr<connection>& accepted) {
    asio::async_read_until(accepted->socket, asio::dynamic_buffer(accepted->request), "\r\n\r\n",
                           [this, accepted](const asio::error_code& ec, std::size_t) {
                               if (!ec) {
                                   ++request_count_;
                                   write(accepted, first_part_);
                               }
                           });
}

void endless_server::write(const std::shared_ptr<connection>& accepted, const std::string& part) {
    asio::async_write(accepted->socket, asio::buffer(part),
                      [this, accepted](const asio::error_code& ec, std::size_t size) {
                          sent_bytes_ += size;
                          if (ec) {
                              ++closed_count_;
                          } else if (block_interval_ms > 0) {
                              loop_.post_after(milliseconds(block_interval_ms), [this, accepted] {
                                  write(accepted, repeated_part_);
                              });
                          } else {
                              write(accepted, repeated_part_);
                          }
                      });
}

} // namespace citronseam::harness
