#include "programs/entry/service_dispatcher.h"

#include <algorithm>

#include "programs/entry/request_exchange.h"

namespace citronseam {
namespace {

constexpr double rate_weight = 0.2;
constexpr milliseconds return_without_rate{500};
constexpr milliseconds longest_return{10000};

} // namespace

service_dispatcher::service_dispatcher(std::string name)
    : name_(std::move(name)), snapshot_(std::make_shared<service_snapshot>()),
      random_(seeded_random_source()), last_tick_(std::chrono::steady_clock::now()) {}

void service_dispatcher::set_limits(const service& wanted) {
    const service_limits& limits = wanted.limits;
    const std::lock_guard<std::mutex> lock(mutex_);
    if (limits.retry_percent != limits_.retry_percent || budget_.most == 0) {
        budget_ = make_retry_budget(limits.retry_percent);
    }
    limits_ = limits;
    balancing_ = wanted.balancing;
    queue_.limit = limits.queue_limit;
}

void service_dispatcher::set_snapshot(std::shared_ptr<const service_snapshot> snapshot) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        snapshot_ = std::move(snapshot);
    }
    pump();
}

preferred_server service_dispatcher::preferred_for(std::uint64_t prefix) const {
    const auto holder = prefix == 0 ? std::nullopt : holder_of(prefixes_, prefix);
    if (!holder) {
        return {};
    }
    const auto found = snapshot_->by_number.find(*holder);
    return found == snapshot_->by_number.end() ? preferred_server{} : found->second;
}

std::shared_ptr<backend_server_link> service_dispatcher::choose(const request_exchange& exchange) {
    backend_server_load* chosen =
        balancing_ == balancing_policy::round_robin
            ? choose_round_robin(snapshot_->pool, cursor_)
            : choose_backend_server(snapshot_->pool, preferred_for(exchange.prefix()),
                                    exchange.excluded(), random_);
    if (chosen == nullptr) {
        return nullptr;
    }
    chosen->outstanding.fetch_add(1, std::memory_order_relaxed);
    return snapshot_->links.at(chosen);
}

milliseconds service_dispatcher::expected_wait() const {
    if (rate_ <= 0) {
        return milliseconds(0);
    }
    constexpr double in_ms = 1000;
    return milliseconds(
        static_cast<std::int64_t>(in_ms * static_cast<double>(queue_.size) / rate_));
}

bool service_dispatcher::is_hopeless(const request_exchange& exchange, time_point now) const {
    return now + expected_wait() >= exchange.deadline();
}

void service_dispatcher::enqueue(const exchange_pointer& exchange,
                                 std::vector<refused_request>& refused) {
    const time_point now = std::chrono::steady_clock::now();
    push_outcome outcome;
    if (!is_hopeless(*exchange, now)) {
        outcome = push(queue_, exchange->queue_entry());
    }
    const milliseconds wait = retry_after(std::max(expected_wait(), return_without_rate), random_);
    if (!outcome.is_queued) {
        refused.push_back({exchange, std::min(wait, longest_return)});
        return;
    }
    exchange->forget_exclusions();
    waiting_[exchange->number()] = exchange;
    if (outcome.evicted) {
        const auto evicted = waiting_.find(outcome.evicted->id);
        refused.push_back({evicted->second, std::min(wait, longest_return)});
        waiting_.erase(evicted);
    }
}

void service_dispatcher::submit(const exchange_pointer& exchange) {
    std::shared_ptr<backend_server_link> link;
    std::vector<refused_request> refused;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (exchange->is_first_attempt()) {
            earn(budget_);
        }
        // A request that comes while others wait takes its turn among them.
        if (queue_.size == 0) {
            link = choose(*exchange);
        }
        if (link == nullptr) {
            enqueue(exchange, refused);
        }
    }
    if (link != nullptr) {
        exchange->dispatch_to(link);
    }
    for (const auto& entry : refused) {
        entry.exchange->shed(refusal::limit, entry.retry_after,
                             "service " + name_ + " has no room now");
    }
}

bool service_dispatcher::withdraw(const request_exchange& exchange) {
    const std::lock_guard<std::mutex> lock(mutex_);
    waiting_.erase(exchange.number());
    return remove(queue_, exchange.workspace(), exchange.number());
}

void service_dispatcher::pump() {
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
            link = choose(*exchange);
            if (link == nullptr) {
                return;
            }
            pop(queue_);
            waiting_.erase(found);
        }
        exchange->dispatch_to(link);
    }
}

void service_dispatcher::note_finished(bool is_answered) {
    if (is_answered) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++finished_;
    }
    pump();
}

void service_dispatcher::tick(time_point now) {
    std::vector<exchange_pointer> expired;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const double passed = std::chrono::duration<double>(now - last_tick_).count();
        if (passed > 0) {
            const double present = static_cast<double>(finished_) / passed;
            rate_ += rate_weight * (present - rate_);
        }
        finished_ = 0;
        last_tick_ = now;
        for (const auto& request : take_expired(queue_, now)) {
            const auto found = waiting_.find(request.id);
            expired.push_back(found->second);
            waiting_.erase(found);
        }
    }
    for (const auto& exchange : expired) {
        exchange->shed(refusal::deadline, time_to_return(), "no room before the deadline");
    }
    pump();
}

bool service_dispatcher::spend_retry() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return spend(budget_);
}

void service_dispatcher::note_prefix(std::uint64_t prefix, const backend_server_link& link) {
    const std::lock_guard<std::mutex> lock(mutex_);
    note_answered(prefixes_, prefix, link.session()->number(), std::chrono::steady_clock::now());
}

void service_dispatcher::take_cache_report(const backend_server_link& link,
                                           const wire::cache_report& message) {
    const std::uint64_t server = link.session()->number();
    const time_point now = std::chrono::steady_clock::now();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (message.is_reset()) {
        forget_server(prefixes_, server);
    }
    if (message.evicted() != nullptr) {
        for (const std::uint64_t prefix : *message.evicted()) {
            note_evicted(prefixes_, prefix, server, now);
        }
    }
    if (message.stored() != nullptr) {
        for (const std::uint64_t prefix : *message.stored()) {
            note_stored(prefixes_, prefix, server, now);
        }
    }
}

void service_dispatcher::forget_prefixes(const backend_server_link& link) {
    const std::lock_guard<std::mutex> lock(mutex_);
    forget_server(prefixes_, link.session()->number());
}

milliseconds service_dispatcher::time_to_return() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const milliseconds wait = std::max(expected_wait(), return_without_rate);
    return std::min(retry_after(wait, random_), longest_return);
}

std::size_t service_dispatcher::known_prefixes() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return prefixes_.recent.size() + prefixes_.previous.size();
}

std::size_t service_dispatcher::waiting() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return queue_.size;
}

} // namespace citronseam
