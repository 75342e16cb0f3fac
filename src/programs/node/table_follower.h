/// @file
/// Keeps a local copy of one table of the store up to date.
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
    feed, ///< long polling: the store answers on a change; for tables that rarely change
    poll  ///< the table is read periodically; for tables that change all the time
};

/// A change of the copy of a table.
struct table_change {
    std::vector<versioned_row> rows;   ///< empty when only the version rose
    std::uint64_t previous_version{0}; ///< the rows are all changes since then; 0: all rows
    std::uint64_t version{0};
    bool is_own_read{false}; ///< read by this process, not sent by another one
};

/// Keeps a copy of a table. All functions run on the control thread.
class table_follower {
public:
    /// Called for changes once the copy is complete, first with all rows.
    using change_handler = std::function<void(const table_change&)>;

    /// @param interval time between two reads, or the longest wait of a feed call
    table_follower(io_thread_pool& control, store_client& store, std::string table,
                   follow_mode mode, milliseconds interval);

    /// Reads the table and begins to follow it.
    /// @param grace time within which another process may send the rows instead
    void start(change_handler handle, milliseconds grace = milliseconds(0));
    /// Sets a check whether this process must read the store itself; while it returns false,
    /// another process sends the rows.
    void set_needed_check(std::function<bool()> is_needed) { is_needed_ = std::move(is_needed); }
    /// Changes the time between two reads. A longer wait in progress is cut short.
    void set_interval(milliseconds interval) { interval_ = interval; }
    /// Merges rows that another process sent into the copy.
    /// @return number of rows that changed the copy
    std::size_t apply_from_member(const row_batch& batch) { return apply(batch, false); }

    /// @return how long rows with this version are not applied yet, since the store was restored;
    /// zero when they are applied
    milliseconds settling_time(std::uint64_t version);

    /// @return the copy
    const row_cache& rows() const noexcept { return cache_; }
    /// @return when the newest read that succeeded began; time_point{} before the first one
    time_point last_read_begun_at() const noexcept { return last_read_begun_at_; }
    /// @return when the store last answered; time_point{} before the first response
    time_point last_read_at() const noexcept { return last_read_at_; }
    /// @return number of this process's successful reads
    std::uint64_t read_count() const noexcept { return read_count_; }
    /// @return name of the table
    const std::string& table() const noexcept { return table_; }

private:
    std::size_t apply(const row_batch& batch, bool is_own_read);
    void record_read(const char* call, const row_batch& batch);
    void record_failure(const char* call);
    void read_full_table();
    void poll();
    void read_again();
    void wait_for_changes();
    void handle_full_table(platform::store_outcome outcome, const row_batch& batch);
    void handle_feed(platform::store_outcome outcome, const row_batch& batch);
    void schedule(milliseconds delay, void (table_follower::*step)());

    io_thread_pool& control_;
    store_client& store_;
    std::string table_;
    follow_mode mode_;
    milliseconds interval_;
    change_handler handle_;
    std::function<bool()> is_needed_;
    row_cache cache_;
    std::uint64_t feed_version_{0}; ///< version after which the feed continues
    time_point last_read_at_;
    time_point last_read_begun_at_;
    std::uint64_t read_count_{0};
    time_point call_started_at_;  ///< when the last call to the store began
    std::uint64_t logged_era_{0}; ///< newest era whose rows were held back
};

} // namespace citronseam

#endif
