/// @file
/// Follows one table of the store.
#ifndef CITRONSEAM_PROGRAMS_NODE_TABLE_FOLLOWER_H
#define CITRONSEAM_PROGRAMS_NODE_TABLE_FOLLOWER_H

#include <functional>
#include <string>
#include <vector>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/clock.h"
#include "citronseam/process/versioned_row.h"
#include "programs/node/store_client.h"

namespace citronseam {

/// How a table is followed.
enum class follow_mode : std::uint8_t {
    feed, ///< the store answers when something changed: for tables that change seldom
    poll  ///< the table is read again and again: for tables that change all the time
};

/// Keeps a copy of a table. Everything runs on the control thread.
class table_follower {
public:
    /// Takes the rows that changed.
    using change_handler = std::function<void(const std::vector<versioned_row>&)>;

    /// @param interval between two reads, or the longest time that a feed waits
    table_follower(io_threads& control, store_client& store, std::string table, follow_mode mode,
                   milliseconds interval);

    /// Begins to follow.
    void start(change_handler handle);
    /// Sets whether the table is read at all; another process may send the rows instead.
    void set_needed(std::function<bool()> is_needed) { is_needed_ = std::move(is_needed); }
    /// Changes the time between two reads; a longer wait under way is cut short.
    void set_interval(milliseconds interval) { interval_ = interval; }
    /// Takes rows that another process read.
    void take(const row_batch& batch);

    /// @return the copy
    const row_cache& rows() const noexcept { return cache_; }
    /// @return when the store last gave an answer; time_point{} before the first
    time_point read_at() const noexcept { return read_at_; }
    /// @return name of the table
    const std::string& table() const noexcept { return table_; }

private:
    void read_whole();
    void poll();
    void wait_for_changes();
    void handle_whole(platform::store_outcome outcome, const row_batch& batch);
    void handle_feed(platform::store_outcome outcome, const row_batch& batch);
    void later(milliseconds delay, void (table_follower::*step)());

    io_threads& control_;
    store_client& store_;
    std::string table_;
    follow_mode mode_;
    milliseconds interval_;
    change_handler handle_;
    std::function<bool()> is_needed_;
    row_cache cache_;
    std::uint64_t feed_version_{0}; ///< where the feed goes on
    time_point read_at_;
    time_point asked_at_; ///< when the last read began
};

} // namespace citronseam

#endif
