#include "soak/fault_proxy.h"

#include <deque>
#include <utility>

#include "citronseam/process/sizes.h"

namespace citronseam::soak {
namespace {

void close(asio::ip::tcp::socket& socket, bool is_reset) {
    asio::error_code ignored;
    if (is_reset) {
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
}

} // namespace

/// One direction of a connection.
struct fault_proxy::pipe {
    struct block {
        std::string bytes;
        time_point due;
    };

    pipe(asio::ip::tcp::socket& source, asio::ip::tcp::socket& sink, bool is_of_requests)
        : from(source), to(sink), is_request(is_of_requests), timer(source.get_executor()) {}

    asio::ip::tcp::socket& from;
    asio::ip::tcp::socket& to;
    const bool is_request;
    std::array<char, 64 * kibibyte> buffer{};
    std::deque<block> blocks;
    bool is_writing{false};
    bool is_ended{false}; ///< the connection is closed once all blocks are written
    bool is_reset{false};
    asio::steady_timer timer;
};

struct fault_proxy::proxied_connection {
    proxied_connection(asio::ip::tcp::socket client_socket, asio::ip::tcp::socket target_socket)
        : client(std::move(client_socket)), target(std::move(target_socket)) {}

    void close_both(bool is_reset) {
        close(client, is_reset);
        close(target, is_reset);
    }

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket target;
    pipe requests{client, target, true};
    pipe answers{target, client, false};
    bool is_silent{false};
    std::size_t cut_at{0}; ///< byte at which the current answer ends; 0: not cut
    std::string answer;    ///< bytes of the target since the last request
    asio::steady_timer repeat_timer{client.get_executor()};
};

fault_proxy::fault_proxy(std::string target) : target_(std::move(target)) {
    listener_ = std::make_shared<peer_listener>(
        loop_.context(), host_port{"127.0.0.1", 0},
        [this](asio::ip::tcp::socket socket) { accept_connection(std::move(socket)); });
    listener_->start();
}

fault_proxy::~fault_proxy() {
    loop_.stop();
    silent_connections_.clear();
}

std::string fault_proxy::address() const {
    return "127.0.0.1:" + std::to_string(listener_->port());
}

void fault_proxy::set_fault(fault_kind kind, std::uint64_t parameter) {
    loop_.post([this, kind, parameter] {
        kind_ = kind;
        parameter_ = parameter;
        std::vector<std::weak_ptr<proxied_connection>> open;
        for (const auto& weak : std::exchange(connections_, {})) {
            const auto connection = weak.lock();
            if (connection == nullptr) {
                continue;
            }
            if (kind == fault_kind::reset) {
                connection->close_both(true);
                continue;
            }
            if (kind == fault_kind::silence && !connection->is_silent) {
                connection->is_silent = true;
                silent_connections_.push_back(connection);
            }
            open.push_back(connection);
            pump(connection, connection->requests);
            pump(connection, connection->answers);
        }
        connections_.insert(connections_.end(), open.begin(), open.end());
    });
}

void fault_proxy::accept_connection(asio::ip::tcp::socket client) {
    const auto endpoint = parse_host_port(target_);
    asio::ip::tcp::socket target(loop_.context());
    asio::error_code error;
    target.connect({asio::ip::make_address(endpoint->host), endpoint->port}, error);
    if (error) {
        return;
    }
    const asio::ip::tcp::no_delay no_delay(true);
    client.set_option(no_delay, error);
    target.set_option(no_delay, error);
    const auto connection =
        std::make_shared<proxied_connection>(std::move(client), std::move(target));
    connections_.push_back(connection);
    if (kind_ == fault_kind::silence) {
        connection->is_silent = true;
        silent_connections_.push_back(connection);
    }
    read(connection, connection->requests);
    read(connection, connection->answers);
}

void fault_proxy::read(const connection_pointer& connection, pipe& from) {
    from.from.async_read_some(
        asio::buffer(from.buffer),
        [this, connection, &from](const asio::error_code& error, std::size_t size) {
            if (connection->is_silent) {
                if (!error) {
                    read(connection, from);
                }
                return;
            }
            if (from.is_ended) {
                return;
            }
            if (error) {
                from.is_ended = true;
                from.is_reset = error != asio::error::eof;
                pump(connection, from);
                return;
            }
            std::string bytes(from.buffer.data(), size);
            if (from.is_request) {
                handle_request_bytes(connection);
            } else {
                handle_answer_bytes(connection, bytes);
            }
            push(connection, from, std::move(bytes));
            if (!from.is_ended) {
                read(connection, from);
            }
        });
}

void fault_proxy::handle_request_bytes(const connection_pointer& connection) {
    if (connection->answer.empty()) {
        return;
    }
    // The first bytes after an answer begin the next exchange.
    connection->repeat_timer.cancel();
    const std::string earlier = std::exchange(connection->answer, {});
    if (kind_ == fault_kind::repeat_answer) {
        push(connection, connection->answers, earlier);
    }
}

void fault_proxy::handle_answer_bytes(const connection_pointer& connection, std::string& bytes) {
    const bool is_cutting = kind_ == fault_kind::cut_answer || kind_ == fault_kind::reset_answer;
    if (connection->answer.empty()) {
        ++exchange_count_;
        const bool is_cut = is_cutting && exchange_count_ % 2 == 0;
        connection->cut_at = is_cut ? next_cut_byte() : 0;
    }
    const std::size_t before = connection->answer.size();
    if (is_cutting && before < connection->cut_at && before + bytes.size() >= connection->cut_at) {
        bytes.resize(connection->cut_at - before);
        connection->answers.is_ended = true;
        connection->answers.is_reset = kind_ == fault_kind::reset_answer;
    }
    connection->answer += bytes;
    if (kind_ == fault_kind::late_answer) {
        repeat_later(connection);
    }
}

/// Every second cut is inside the head.
std::size_t fault_proxy::next_cut_byte() {
    constexpr std::uint64_t step = 37;
    constexpr std::uint64_t head_bytes = 250;
    const std::uint64_t range = exchange_count_ % 4 == 0 ? head_bytes : max_cut_byte;
    return (parameter_ + exchange_count_ * step) % range + 1;
}

void fault_proxy::repeat_later(const connection_pointer& connection) {
    auto& timer = connection->repeat_timer;
    timer.expires_after(milliseconds(parameter_));
    timer.async_wait([this, connection](const asio::error_code& error) {
        // Only an idle connection: bytes inside an answer would be an answer of the server's own.
        if (!error && !connection->answer.empty()) {
            push(connection, connection->answers, connection->answer);
        }
    });
}

bool fault_proxy::is_held(const pipe& held) const {
    return kind_ == (held.is_request ? fault_kind::hold_requests : fault_kind::hold_answers);
}

void fault_proxy::push(const connection_pointer& connection, pipe& to, std::string bytes) {
    const milliseconds delay(kind_ == fault_kind::delay ? parameter_ : 0);
    if (!bytes.empty()) {
        to.blocks.push_back({std::move(bytes), std::chrono::steady_clock::now() + delay});
    }
    pump(connection, to);
}

void fault_proxy::pump(const connection_pointer& connection, pipe& to) {
    if (to.is_writing || is_held(to) || connection->is_silent) {
        return;
    }
    if (to.blocks.empty()) {
        if (to.is_ended) {
            connection->close_both(to.is_reset);
        }
        return;
    }
    auto& first = to.blocks.front();
    to.is_writing = true;
    if (first.due > std::chrono::steady_clock::now()) {
        to.timer.expires_at(first.due);
        to.timer.async_wait([this, connection, &to](const asio::error_code&) {
            to.is_writing = false;
            pump(connection, to);
        });
        return;
    }
    const std::size_t size = kind_ == fault_kind::single_bytes ? 1 : first.bytes.size();
    asio::async_write(to.to, asio::buffer(first.bytes.data(), size),
                      [this, connection, &to](const asio::error_code& error, std::size_t written) {
                          to.is_writing = false;
                          if (error) {
                              connection->close_both(false);
                              return;
                          }
                          auto& sent = to.blocks.front().bytes;
                          sent.erase(0, written);
                          if (sent.empty()) {
                              to.blocks.pop_front();
                          }
                          pump(connection, to);
                      });
}

} // namespace citronseam::soak
