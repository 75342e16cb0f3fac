#include "citronseam/connection/dialer.h"

#include <algorithm>

#include "citronseam/process/settings.h"

namespace citronseam {
namespace {

constexpr milliseconds connect_timeout{1000};
constexpr milliseconds initial_backoff{50};
constexpr milliseconds max_backoff{1000};

milliseconds backoff(int failures) {
    constexpr int max_doublings = 5;
    const milliseconds wait = initial_backoff * (1 << std::min(failures, max_doublings));
    return std::min(wait, max_backoff);
}

} // namespace

dialer::dialer(asio::io_context& context, std::function<shared_frame()> hello,
               session_timing timing, session_observer observer)
    : context_(context), hello_(std::move(hello)), timing_(timing), observer_(std::move(observer)) {
}

void dialer::set_targets(target_map targets) {
    target_map added;
    std::vector<std::shared_ptr<peer_session>> dropped;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [name, address] : targets) {
            const auto known = targets_.find(name);
            if (known == targets_.end() || known->second != address) {
                added.emplace(name, address);
            }
        }
        for (const auto& [name, session] : sessions_) {
            const auto kept = targets.find(name);
            if (kept == targets.end() || added.count(name) > 0) {
                dropped.push_back(session);
            }
        }
        targets_ = std::move(targets);
    }
    for (const auto& session : dropped) {
        session->close(close_reason::closed_locally);
    }
    for (const auto& [name, address] : added) {
        connect(name, address, 0);
    }
}

void dialer::stop() {
    set_targets({});
}

std::map<std::string, std::shared_ptr<peer_session>> dialer::sessions() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return sessions_;
}

bool dialer::is_target(const std::string& name, const std::string& address) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = targets_.find(name);
    return found != targets_.end() && found->second == address;
}

void dialer::connect(const std::string& name, const std::string& address, int failures) {
    const auto parsed = parse_host_port(address);
    asio::error_code parse_error;
    const auto ip = asio::ip::make_address(parsed ? parsed->host : "", parse_error);
    if (!parsed || parse_error || !is_target(name, address)) {
        return;
    }
    const auto strand = asio::make_strand(context_);
    auto socket = std::make_shared<asio::ip::tcp::socket>(strand);
    auto timer = std::make_shared<asio::steady_timer>(strand, connect_timeout);
    timer->async_wait([socket](const asio::error_code& ec) {
        if (!ec) {
            asio::error_code ignored;
            socket->close(ignored);
        }
    });
    socket->async_connect(asio::ip::tcp::endpoint(ip, parsed->port),
                          [self = shared_from_this(), socket, timer, name, address,
                           failures](const asio::error_code& ec) {
                              timer->cancel();
                              if (ec || !socket->is_open()) {
                                  self->connect_later(name, address, failures + 1);
                                  return;
                              }
                              self->handle_connected(name, address, std::move(*socket));
                          });
}

void dialer::connect_later(const std::string& name, const std::string& address, int failures) {
    auto timer = std::make_shared<asio::steady_timer>(context_, backoff(failures));
    timer->async_wait(
        [self = shared_from_this(), timer, name, address, failures](const asio::error_code& ec) {
            if (!ec) {
                self->connect(name, address, failures);
            }
        });
}

void dialer::handle_connected(const std::string& name, const std::string& address,
                              asio::ip::tcp::socket socket) {
    session_observer observer = observer_;
    observer.on_closed = [self = shared_from_this(), name, address](
                             const std::shared_ptr<peer_session>& closed, close_reason reason) {
        {
            const std::lock_guard<std::mutex> lock(self->mutex_);
            const auto found = self->sessions_.find(name);
            if (found != self->sessions_.end() && found->second == closed) {
                self->sessions_.erase(found);
            }
        }
        self->observer_.on_closed(closed, reason);
        self->connect_later(name, address, 0);
    };
    auto session =
        std::make_shared<peer_session>(std::move(socket), hello_(), timing_, std::move(observer));
    std::shared_ptr<peer_session> replaced;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        replaced = std::exchange(sessions_[name], session);
    }
    if (replaced != nullptr) {
        replaced->close(close_reason::closed_locally);
    }
    session->start();
    if (!is_target(name, address)) {
        session->close(close_reason::closed_locally);
    }
}

} // namespace citronseam
