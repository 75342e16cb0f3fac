#include "programs/entry/service_dispatcher.h"

#include <algorithm>

#include "programs/entry/request_exchange.h"

namespace citronseam {
namespace {

constexpr double rate_smoothing_factor = 0.2;
constexpr milliseconds min_retry_after{500};
constexpr milliseconds max_retry_after{10000};

} // namespace

service_dispatcher::service_dispatcher(std::string name)
    : name_(std::move(name)), snapshot_(std::make_shared<service_snapshot>()),
      random_(seeded_random_source()), last_tick_(std::chrono::steady_clock::now()) {}

void service_dispatcher::set_limits(const service& definition) {
    const service_limits& limits = definition.limits;
    const std::lock_guard<std::mutex> lock(mutex_);
    if (limits.retry_percent != limits_.retry_percent || retry_budget_.max_balance == 0) {
        retry_budget_ = make_retry_budget(limits.retry_percent);
    }
    limits_ = limits;
    balancing_ = definition.balancing;
    queue_.limit = limits.queue_limit;
}

void service_dispatcher::set_snapshot(std::shared_ptr<const service_snapshot> snapshot) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        snapshot_ = std::move(snapshot);
    }
    dispatch_waiting();
}

preferred_server service_dispatcher::find_preferred_server(std::uint64_t prefix) const {
    const auto holder = prefix == 0 ? std::nullopt : holder_of(prefixes_, prefix);
    if (!holder) {
        return {};
    }
    const auto found = snapshot_->by_session.find(*holder);
    return found == snapshot_->by_session.end() ? preferred_server{} : found->second;
}

std::shared_ptr<backend_server_link>
service_dispatcher::choose_link(const request_exchange& exchange) {
    backend_server_load* chosen =
        balancing_ == balancing_policy::round_robin
            ? choose_round_robin(snapshot_->pool, round_robin_cursor_)
            : choose_backend_server(snapshot_->pool,
                                    find_preferred_server(exchange.prompt_prefix_hash()),
                                    exchange.excluded(), random_);
    if (chosen == nullptr) {
        return nullptr;
    }
    chosen->outstanding.fetch_add(1, std::memory_order_relaxed);
    return snapshot_->links.at(chosen);
}

milliseconds service_dispatcher::expected_wait() const {
    if (completions_per_second_ <= 0) {
        return milliseconds(0);
    }
    constexpr double ms_per_second = 1000;
    return milliseconds(static_cast<std::int64_t>(ms_per_second * static_cast<double>(queue_.size) /
                                                  completions_per_second_));
}

bool service_dispatcher::is_deadline_unreachable(const request_exchange& exchange,
                                                 time_point now) const {
    return now + expected_wait() >= exchange.deadline();
}

void service_dispatcher::enqueue(const exchange_pointer& exchange,
                                 std::vector<refused_request>& refused) {
    const time_point now = std::chrono::steady_clock::now();
    push_result outcome;
    if (!is_deadline_unreachable(*exchange, now)) {
        outcome = push(queue_, exchange->queue_entry());
    }
    const milliseconds wait = retry_after(std::max(expected_wait(), min_retry_after), random_);
    if (!outcome.is_queued) {
        refused.push_back({exchange, std::min(wait, max_retry_after)});
        return;
    }
    exchange->clear_exclusions();
    waiting_[exchange->id()] = exchange;
    if (outcome.evicted) {
        const auto evicted = waiting_.find(outcome.evicted->id);
        refused.push_back({evicted->second, std::min(wait, max_retry_after)});
        waiting_.erase(evicted);
    }
}

void service_dispatcher::submit(const exchange_pointer& exchange) {
    std::shared_ptr<backend_server_link> link;
    std::vector<refused_request> refused;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (exchange->is_first_attempt()) {
            credit_request(retry_budget_);
        }
        // While other requests wait, a new one joins the queue.
        if (queue_.size == 0) {
            link = choose_link(*exchange);
        }
        if (link == nullptr) {
            enqueue(exchange, refused);
        }
    }
    if (link != nullptr) {
        exchange->dispatch_to(link);
    }
    for (const auto& entry : refused) {
        entry.exchange->reject(refusal::limit, entry.retry_after,
                               "service " + name_ + " has no room now");
    }
}

void service_dispatcher::resubmit(const exchange_pointer& exchange) {
    std::shared_ptr<backend_server_link> link;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        link = choose_link(*exchange);
        if (link == nullptr) {
            exchange->clear_exclusions();
            waiting_[exchange->id()] = exchange;
            put_back(queue_, exchange->queue_entry());
        }
    }
    if (link != nullptr) {
        exchange->dispatch_to(link);
    }
}

bool service_dispatcher::remove_waiting(const request_exchange& exchange) {
    const std::lock_guard<std::mutex> lock(mutex_);
    waiting_.erase(exchange.id());
    return remove(queue_, exchange.workspace(), exchange.id());
}

void service_dispatcher::dispatch_waiting() {
    while (true) {
        exchange_pointer exchange;
        std::shared_ptr<backend_server_link> link;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const queued_request* next = peek(queue_);
            if (next == nullptr) {
                return;
            }
            const auto found = waiting_.find(next->id);
            exchange = found->second;
            link = choose_link(*exchange);
            if (link == nullptr) {
                return;
            }
            pop(queue_);
            waiting_.erase(found);
        }
        exchange->dispatch_to(link);
    }
}

void service_dispatcher::handle_attempt_end(bool is_answered) {
    if (is_answered) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++finished_since_tick_;
    }
    dispatch_waiting();
}

void service_dispatcher::tick(time_point now) {
    std::vector<exchange_pointer> expired;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const double elapsed_seconds = std::chrono::duration<double>(now - last_tick_).count();
        if (elapsed_seconds > 0) {
            const double current_rate = static_cast<double>(finished_since_tick_) / elapsed_seconds;
            completions_per_second_ +=
                rate_smoothing_factor * (current_rate - completions_per_second_);
        }
        finished_since_tick_ = 0;
        last_tick_ = now;
        for (const auto& request : remove_expired(queue_, now)) {
            const auto found = waiting_.find(request.id);
            expired.push_back(found->second);
            waiting_.erase(found);
        }
    }
    for (const auto& exchange : expired) {
        exchange->reject(refusal::deadline, retry_after_hint(), "no room before the deadline");
    }
    dispatch_waiting();
}

bool service_dispatcher::try_spend_retry() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return try_spend(retry_budget_);
}

void service_dispatcher::record_prefix(std::uint64_t prefix, const backend_server_link& link) {
    const std::lock_guard<std::mutex> lock(mutex_);
    record_answered(prefixes_, prefix, link.session()->number(), std::chrono::steady_clock::now());
}

void service_dispatcher::handle_cache_report(const backend_server_link& link,
                                             const wire::cache_report& message) {
    const std::uint64_t server = link.session()->number();
    const time_point now = std::chrono::steady_clock::now();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (message.is_reset()) {
        forget_server(prefixes_, server);
    }
    if (message.evicted() != nullptr) {
        for (const std::uint64_t prefix : *message.evicted()) {
            record_evicted(prefixes_, prefix, server, now);
        }
    }
    if (message.stored() != nullptr) {
        for (const std::uint64_t prefix : *message.stored()) {
            record_stored(prefixes_, prefix, server, now);
        }
    }
}

void service_dispatcher::remove_prefix_hints(const backend_server_link& link) {
    const std::lock_guard<std::mutex> lock(mutex_);
    forget_server(prefixes_, link.session()->number());
}

milliseconds service_dispatcher::retry_after_hint() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const milliseconds wait = std::max(expected_wait(), min_retry_after);
    return std::min(retry_after(wait, random_), max_retry_after);
}

std::size_t service_dispatcher::prefix_count() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return prefixes_.recent.size() + prefixes_.previous.size();
}

std::size_t service_dispatcher::waiting() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return queue_.size;
}

} // namespace citronseam
