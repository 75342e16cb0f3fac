#include "programs/entry/backend_server_link.h"

namespace citronseam {

backend_server_link::backend_server_link(std::shared_ptr<peer_session> session,
                                         const wire::hello& hello)
    : session_(std::move(session)), instance_(view(hello.instance())),
      availability_zone_(view(hello.availability_zone())), service_(view(hello.service())),
      peer_address_(view(hello.peer_address())), incarnation_(hello.incarnation()) {}

void backend_server_link::handle_heartbeat(const wire::heartbeat& message) {
    load_.outstanding_at_report.store(load_.outstanding.load(std::memory_order_relaxed),
                                      std::memory_order_relaxed);
    load_.running.store(message.running(), std::memory_order_relaxed);
    load_.limit.store(message.limit(), std::memory_order_relaxed);
    const std::lock_guard<std::mutex> lock(mutex_);
    report_.generation = message.generation();
    report_.is_ready = message.ready();
    report_.is_leaving = message.leaving();
    report_.limit = message.limit();
    report_.running = message.running();
    report_.model_version = view(message.model_version());
    report_.version_since_ms = message.version_since_ms();
    report_.chunks_held = message.chunks_held();
    report_.chunks_total = message.chunks_total();
    report_.origin_bytes = message.origin_bytes();
}

agent_report backend_server_link::report() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return report_;
}

bool backend_server_link::send_request(std::uint64_t attempt,
                                       const std::shared_ptr<request_exchange>& exchange,
                                       shared_frame frame) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_closed_) {
            return false;
        }
        exchanges_[attempt] = exchange;
    }
    if (session_->send(std::move(frame))) {
        return true;
    }
    // Not sent. If the exchange is already gone, the connection was closed concurrently and
    // the exchange has been notified of it.
    const std::lock_guard<std::mutex> lock(mutex_);
    return exchanges_.erase(attempt) == 0;
}

std::shared_ptr<request_exchange> backend_server_link::find_exchange(std::uint64_t attempt) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = exchanges_.find(attempt);
    return found == exchanges_.end() ? nullptr : found->second;
}

void backend_server_link::remove_exchange(std::uint64_t attempt) {
    const std::lock_guard<std::mutex> lock(mutex_);
    exchanges_.erase(attempt);
}

std::map<std::uint64_t, std::shared_ptr<request_exchange>>
backend_server_link::close_and_take_exchanges() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_closed_ = true;
    return std::move(exchanges_);
}

} // namespace citronseam
