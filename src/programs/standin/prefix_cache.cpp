#include "programs/standin/prefix_cache.h"

namespace citronseam::standin {
namespace {

constexpr std::size_t most_events = 1024;

} // namespace

prefix_cache::prefix_cache(const cache_options& options) : options_(options) {}

bool prefix_cache::use(const std::string& key, time_point now) {
    const auto found = held_.find(key);
    if (found != held_.end()) {
        order_.splice(order_.begin(), order_, found->second);
        return true;
    }
    if (held_.size() >= options_.size) {
        publish(order_.back(), false, now);
        held_.erase(order_.back());
        order_.pop_back();
    }
    order_.push_front(key);
    held_[key] = order_.begin();
    publish(key, true, now);
    return false;
}

void prefix_cache::clear(time_point now) {
    for (const auto& key : order_) {
        publish(key, false, now);
    }
    order_.clear();
    held_.clear();
}

void prefix_cache::publish(const std::string& key, bool is_stored, time_point now) {
    ++last_number_;
    if (options_.gap_each != 0 && last_number_ % options_.gap_each == 0) {
        return;
    }
    events_.push_back({last_number_, key, is_stored, now});
    if (events_.size() > most_events) {
        events_.pop_front();
    }
}

nlohmann::json prefix_cache::events(std::uint64_t after, time_point now) const {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& known : events_) {
        const bool is_published = known.happened + milliseconds(options_.event_lag_ms) <= now;
        if (known.number > after && is_published) {
            rows.push_back({{"number", known.number},
                            {"key", known.key},
                            {"event", known.is_stored ? "stored" : "evicted"}});
        }
    }
    return {{"events", rows}};
}

} // namespace citronseam::standin
