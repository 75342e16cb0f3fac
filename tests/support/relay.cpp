#include "support/relay.h"

#include <atomic>
#include <utility>

#include "citronseam/process/sizes.h"

namespace citronseam::harness {

struct relay::carried_pair {
    carried_pair(asio::ip::tcp::socket first, asio::ip::tcp::socket second)
        : caller(std::move(first)), target(std::move(second)) {}

    asio::ip::tcp::socket caller;
    asio::ip::tcp::socket target;
    std::array<char, 64 * kibibyte> forward{};
    std::array<char, 64 * kibibyte> backward{};
    std::atomic<bool> is_silent{false};
    /// A silent pair keeps itself open.
    std::shared_ptr<carried_pair> self;

    void close() {
        asio::error_code ignored;
        caller.close(ignored);
        target.close(ignored);
        self.reset();
    }
};

relay::relay(std::string target) : target_(std::move(target)) {
    listener_ = std::make_shared<peer_listener>(
        loop_.context(), host_port{"127.0.0.1", 0},
        [this](asio::ip::tcp::socket socket) { carry(std::move(socket)); });
    listener_->start();
}

relay::~relay() {
    set_cut(true);
    loop_.stop();
}

std::string relay::address() const {
    return "127.0.0.1:" + std::to_string(listener_->port());
}

void relay::set_target(std::string target) {
    const std::lock_guard<std::mutex> lock(mutex_);
    target_ = std::move(target);
}

void relay::carry(asio::ip::tcp::socket caller) {
    std::string address;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_cut_) {
            return;
        }
        address = target_;
    }
    const auto parsed = parse_host_port(address);
    asio::ip::tcp::socket target(loop_.context());
    asio::error_code problem;
    target.connect({asio::ip::make_address(parsed->host), parsed->port}, problem);
    if (problem) {
        return;
    }
    auto pair = std::make_shared<carried_pair>(std::move(caller), std::move(target));
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        pairs_.push_back(pair);
    }
    pump(pair, true);
    pump(pair, false);
}

void relay::pump(const std::shared_ptr<carried_pair>& pair, bool is_forward) {
    auto& from = is_forward ? pair->caller : pair->target;
    auto& buffer = is_forward ? pair->forward : pair->backward;
    from.async_read_some(
        asio::buffer(buffer),
        [this, pair, is_forward, &buffer](const asio::error_code& problem, std::size_t size) {
            if (pair->is_silent) {
                pair->self = pair;
                return;
            }
            if (problem) {
                pair->close();
                return;
            }
            constexpr std::size_t larger_block = 16 * kibibyte;
            if (size > larger_block && corrupt_left_ > 0) {
                --corrupt_left_;
                buffer[size / 2] = static_cast<char>(buffer[size / 2] ^ 1);
            }
            if (is_forward && is_held_) {
                ++held_blocks_;
                held_.push_back([this, pair, size] { pass_on(pair, true, size); });
                return;
            }
            pass_on(pair, is_forward, size);
        });
}

void relay::pass_on(const std::shared_ptr<carried_pair>& pair, bool is_forward, std::size_t size) {
    auto& to = is_forward ? pair->target : pair->caller;
    const auto& buffer = is_forward ? pair->forward : pair->backward;
    asio::async_write(to, asio::buffer(buffer.data(), size),
                      [this, pair, is_forward](const asio::error_code& failed, std::size_t) {
                          if (failed) {
                              pair->close();
                              return;
                          }
                          pump(pair, is_forward);
                      });
}

void relay::set_held(bool is_held) {
    is_held_ = is_held;
    if (is_held) {
        return;
    }
    loop_.post([this] {
        held_blocks_ = 0;
        for (const auto& pass : std::exchange(held_, {})) {
            pass();
        }
    });
}

void relay::silence_open_connections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& weak : pairs_) {
        if (const auto pair = weak.lock()) {
            pair->is_silent = true;
        }
    }
}

void relay::set_cut(bool is_cut) {
    std::vector<std::weak_ptr<carried_pair>> pairs;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_cut_ = is_cut;
        if (is_cut) {
            pairs.swap(pairs_);
        }
    }
    for (const auto& weak : pairs) {
        if (const auto pair = weak.lock()) {
            loop_.post([pair] { pair->close(); });
        }
    }
}

} // namespace citronseam::harness
