#include "support/relay.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include "citronseam/process/sizes.h"

namespace citronseam::harness {

microseconds shared_link::pass(std::size_t bytes) {
    constexpr std::size_t microseconds_per_second = 1'000'000;
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    free_at_ =
        std::max(free_at_, now) + microseconds(bytes * microseconds_per_second / bytes_per_second_);
    return std::chrono::duration_cast<microseconds>(free_at_ - now);
}

struct relay::proxied_connection {
    proxied_connection(asio::ip::tcp::socket client_socket, asio::ip::tcp::socket target_socket)
        : client(std::move(client_socket)), target(std::move(target_socket)) {}

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket target;
    std::array<char, 64 * kibibyte> client_buffer{};
    std::array<char, 64 * kibibyte> target_buffer{};
    std::atomic<bool> is_blackholed{false};
    /// Keeps a blackholed connection open by keeping the object alive.
    std::shared_ptr<proxied_connection> self_reference;

    void close() {
        asio::error_code ignored;
        client.close(ignored);
        target.close(ignored);
        self_reference.reset();
    }
};

relay::relay(std::string target) : target_(std::move(target)) {
    listener_ = std::make_shared<peer_listener>(
        loop_.context(), host_port{"127.0.0.1", 0},
        [this](asio::ip::tcp::socket socket) { accept_connection(std::move(socket)); });
    listener_->start();
}

relay::~relay() {
    set_disconnected(true);
    loop_.stop();
    paused_writes_.clear(); // they own sockets of the loop
}

std::string relay::address() const {
    return "127.0.0.1:" + std::to_string(listener_->port());
}

void relay::set_target(std::string target) {
    const std::lock_guard<std::mutex> lock(mutex_);
    target_ = std::move(target);
}

void relay::accept_connection(asio::ip::tcp::socket client) {
    std::string address;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_disconnected_) {
            return;
        }
        address = target_;
    }
    const auto endpoint = parse_host_port(address);
    asio::ip::tcp::socket target(loop_.context());
    asio::error_code error;
    target.connect({asio::ip::make_address(endpoint->host), endpoint->port}, error);
    if (error) {
        return;
    }
    auto connection = std::make_shared<proxied_connection>(std::move(client), std::move(target));
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        connections_.push_back(connection);
    }
    forward_next_block(connection, true);
    forward_next_block(connection, false);
}

void relay::forward_next_block(const std::shared_ptr<proxied_connection>& connection,
                               bool is_forward) {
    auto& from = is_forward ? connection->client : connection->target;
    auto& buffer = is_forward ? connection->client_buffer : connection->target_buffer;
    from.async_read_some(
        asio::buffer(buffer),
        [this, connection, is_forward, &buffer](const asio::error_code& error, std::size_t size) {
            if (connection->is_blackholed) {
                connection->self_reference = connection;
                return;
            }
            if (error) {
                connection->close();
                return;
            }
            constexpr std::size_t corruption_threshold_bytes = 16 * kibibyte;
            if (size > corruption_threshold_bytes && blocks_to_corrupt_ > 0) {
                --blocks_to_corrupt_;
                buffer[size / 2] = static_cast<char>(buffer[size / 2] ^ 1);
            }
            if (is_forward && is_forwarding_paused_) {
                ++paused_block_count_;
                paused_writes_.push_back(
                    [this, connection, size] { write_block(connection, true, size); });
                return;
            }
            const milliseconds delay(is_forward ? client_delay_ms_.load() : 0);
            if (delay.count() > 0) {
                loop_.post_after(delay,
                                 [this, connection, size] { write_block(connection, true, size); });
                return;
            }
            write_block(connection, is_forward, size);
        });
}

void relay::write_block(const std::shared_ptr<proxied_connection>& connection, bool is_forward,
                        std::size_t size) {
    auto& to = is_forward ? connection->target : connection->client;
    const auto& buffer = is_forward ? connection->client_buffer : connection->target_buffer;
    asio::async_write(
        to, asio::buffer(buffer.data(), size),
        [this, connection, is_forward](const asio::error_code& error, std::size_t written) {
            if (error) {
                connection->close();
                return;
            }
            if (const auto& link = is_forward ? client_link_ : target_link_) {
                loop_.post_after(link->pass(written), [this, connection, is_forward] {
                    forward_next_block(connection, is_forward);
                });
                return;
            }
            const std::size_t rate = target_rate_;
            if (is_forward || rate == 0) {
                forward_next_block(connection, is_forward);
                return;
            }
            constexpr std::size_t microseconds_per_second = 1'000'000;
            loop_.post_after(microseconds(written * microseconds_per_second / rate),
                             [this, connection] { forward_next_block(connection, false); });
        });
}

void relay::set_links(std::shared_ptr<shared_link> of_clients,
                      std::shared_ptr<shared_link> of_target) {
    client_link_ = std::move(of_clients);
    target_link_ = std::move(of_target);
}

void relay::set_forwarding_paused(bool is_paused) {
    is_forwarding_paused_ = is_paused;
    if (is_paused) {
        return;
    }
    loop_.post([this] {
        paused_block_count_ = 0;
        for (const auto& write : std::exchange(paused_writes_, {})) {
            write();
        }
    });
}

void relay::blackhole_open_connections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& weak : connections_) {
        if (const auto connection = weak.lock()) {
            connection->is_blackholed = true;
        }
    }
}

void relay::set_disconnected(bool is_disconnected) {
    std::vector<std::weak_ptr<proxied_connection>> connections;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_disconnected_ = is_disconnected;
        if (is_disconnected) {
            connections.swap(connections_);
        }
    }
    for (const auto& weak : connections) {
        if (const auto connection = weak.lock()) {
            loop_.post([connection] { connection->close(); });
        }
    }
}

} // namespace citronseam::harness
