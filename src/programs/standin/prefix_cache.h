/// @file
/// The prefix cache of a stand-in engine. Its events are delayed and some can be dropped.
#ifndef CITRONSEAM_PROGRAMS_STANDIN_PREFIX_CACHE_H
#define CITRONSEAM_PROGRAMS_STANDIN_PREFIX_CACHE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "citronseam/process/clock.h"

namespace citronseam::standin {

/// Parameters of the prefix cache.
struct cache_options {
    std::size_t capacity{64}; ///< maximum number of prefixes
    int event_lag_ms{300};    ///< delay before an event is published
    /// Every event whose number is a multiple of this is dropped; 0 drops none.
    std::uint64_t dropped_event_interval{0};
};

/// LRU cache of prefix keys that logs store and evict events.
class prefix_cache {
public:
    explicit prefix_cache(const cache_options& options);

    /// Marks a key as the most recently used one and stores it if it is not cached.
    /// @return whether it was cached
    bool touch(const std::string& key, time_point now);
    /// Evicts all keys with one event each, as when the engine loads a version.
    void clear(time_point now);
    /// @return the published events with a number above `after`, as JSON
    nlohmann::json events(std::uint64_t after, time_point now) const;

private:
    struct event {
        std::uint64_t number;
        std::string key;
        bool is_stored;
        time_point occurred_at;
    };

    void publish(const std::string& key, bool is_stored, time_point now);

    cache_options options_;
    std::list<std::string> recency_; ///< most recently used first
    std::unordered_map<std::string, std::list<std::string>::iterator> entries_;
    std::deque<event> events_;
    std::uint64_t last_event_number_{0};
};

} // namespace citronseam::standin

#endif
