/// @file
/// The prefix cache of a stand-in engine, with events that come late and with gaps.
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

/// What the cache is like.
struct cache_options {
    std::size_t size{64};      ///< prefixes held, least recently used leaves first
    int event_lag_ms{300};     ///< events are published this long after they happened
    std::uint64_t gap_each{0}; ///< each event whose number is a multiple is left out; 0 for none
};

/// Holds keys, least recently used first to go.
class prefix_cache {
public:
    explicit prefix_cache(const cache_options& options);

    /// Uses a key, storing it when it is not held.
    /// @return whether it was held
    bool use(const std::string& key, time_point now);
    /// Empties the cache, as a reload does; each key leaves with an event.
    void clear(time_point now);
    /// @return the published events with a number above `after`
    nlohmann::json events(std::uint64_t after, time_point now) const;

private:
    struct event {
        std::uint64_t number;
        std::string key;
        bool is_stored;
        time_point happened;
    };

    void publish(const std::string& key, bool is_stored, time_point now);

    cache_options options_;
    std::list<std::string> order_; ///< most recently used first
    std::unordered_map<std::string, std::list<std::string>::iterator> held_;
    std::deque<event> events_;
    std::uint64_t last_number_{0};
};

} // namespace citronseam::standin

#endif
