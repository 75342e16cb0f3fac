#include "programs/standin/prefix_cache.h"

namespace citronseam::standin {
namespace {

constexpr std::size_t max_events = 1024;

} // namespace

prefix_cache::prefix_cache(const cache_options& options) : options_(options) {}

bool prefix_cache::touch(const std::string& key, time_point now) {
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        recency_.splice(recency_.begin(), recency_, found->second);
        return true;
    }
    if (entries_.size() >= options_.capacity) {
        publish(recency_.back(), false, now);
        entries_.erase(recency_.back());
        recency_.pop_back();
    }
    recency_.push_front(key);
    entries_[key] = recency_.begin();
    publish(key, true, now);
    return false;
}

void prefix_cache::clear(time_point now) {
    for (const auto& key : recency_) {
        publish(key, false, now);
    }
    recency_.clear();
    entries_.clear();
}

void prefix_cache::publish(const std::string& key, bool is_stored, time_point now) {
    ++last_event_number_;
    if (options_.dropped_event_interval != 0 &&
        last_event_number_ % options_.dropped_event_interval == 0) {
        return;
    }
    events_.push_back({last_event_number_, key, is_stored, now});
    if (events_.size() > max_events) {
        events_.pop_front();
    }
}

nlohmann::json prefix_cache::events(std::uint64_t after, time_point now) const {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& recorded : events_) {
        const bool is_published = recorded.occurred_at + milliseconds(options_.event_lag_ms) <= now;
        if (recorded.number > after && is_published) {
            rows.push_back({{"number", recorded.number},
                            {"key", recorded.key},
                            {"event", recorded.is_stored ? "stored" : "evicted"}});
        }
    }
    return {{"events", rows}};
}

} // namespace citronseam::standin
