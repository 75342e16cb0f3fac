#include "programs/node/table_follower.h"

#include <algorithm>

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

/// Pause after a failed call: well below the time within which a change must take effect, and long
/// enough that all processes together stay within the store's rate limits.
constexpr milliseconds retry_delay{250};
/// Interval between checks whether the table must be read after all.
constexpr milliseconds needed_check_interval{100};
/// Granularity of the time between reads.
constexpr milliseconds poll_tick{100};

} // namespace

table_follower::table_follower(io_thread_pool& control, store_client& store, std::string table,
                               follow_mode mode, milliseconds interval)
    : control_(control), store_(store), table_(std::move(table)), mode_(mode), interval_(interval) {
}

void table_follower::start(change_handler handle, milliseconds grace) {
    handle_ = std::move(handle);
    if (grace.count() > 0) {
        schedule(grace, &table_follower::read_again);
        return;
    }
    read_full_table();
}

milliseconds table_follower::settling_time(std::uint64_t version) {
    const std::uint64_t era = era_of(version);
    if (!cache_.is_complete || era <= era_of(cache_.version)) {
        return milliseconds(0);
    }
    const auto now = std::chrono::steady_clock::now();
    store_.learn_era(era, now);
    const milliseconds settling = remaining_rewrite_time(store_.era(), now);
    if (era > logged_era_) {
        logged_era_ = era;
        log_event(log_level::warning, "store_restored",
                  {{"table", table_},
                   {"era", era},
                   {"version", counter_of(version)},
                   {"known_era", era_of(cache_.version)},
                   {"known_version", counter_of(cache_.version)},
                   {"settling_ms", settling.count()}});
    }
    return settling;
}

std::size_t table_follower::apply(const row_batch& batch, bool is_own_read) {
    const milliseconds settling = settling_time(batch.version);
    if (settling.count() > 0) {
        log_event(log_level::info, "rows_held_back",
                  {{"table", table_},
                   {"rows", batch.rows.size()},
                   {"version", counter_of(batch.version)},
                   {"era", era_of(batch.version)},
                   {"settling_ms", settling.count()}});
        return 0;
    }
    const bool was_complete = cache_.is_complete;
    const std::uint64_t previous_version = cache_.version;
    table_change change{merge(cache_, batch), previous_version, cache_.version, is_own_read};
    const std::size_t changed_count = change.rows.size();
    if (!was_complete) {
        change.rows = rows_newer_than(cache_, 0);
    }
    const bool is_change = !was_complete || changed_count > 0 || cache_.version > previous_version;
    if (handle_ && cache_.is_complete && is_change) {
        handle_(change);
    }
    return changed_count;
}

void table_follower::record_read(const char* call, const row_batch& batch) {
    last_read_at_ = std::chrono::steady_clock::now();
    last_read_begun_at_ = call_started_at_;
    ++read_count_;
    if (mode_ == follow_mode::feed && !batch.rows.empty()) {
        log_event(log_level::info, "rows_read",
                  {{"table", table_},
                   {"call", call},
                   {"rows", batch.rows.size()},
                   {"bytes", value_bytes(batch)},
                   {"version", counter_of(batch.version)},
                   {"took_ms", elapsed_ms(call_started_at_, last_read_at_)}});
    }
}

void table_follower::record_failure(const char* call) {
    if (mode_ == follow_mode::feed) {
        log_event(log_level::warning, "rows_unread",
                  {{"table", table_},
                   {"call", call},
                   {"took_ms", elapsed_ms(call_started_at_, std::chrono::steady_clock::now())}});
    }
}

void table_follower::schedule(milliseconds delay, void (table_follower::*step)()) {
    control_.post_after(delay, [this, step] { (this->*step)(); });
}

/// Reads the table once the interval has passed, unless another process sends the rows.
void table_follower::poll() {
    const bool is_due = std::chrono::steady_clock::now() - call_started_at_ >= interval_;
    if (is_due && (!is_needed_ || is_needed_())) {
        read_full_table();
    } else {
        schedule(poll_tick, &table_follower::poll);
    }
}

void table_follower::read_full_table() {
    call_started_at_ = std::chrono::steady_clock::now();
    store_.read_table(table_, [this](platform::store_outcome outcome, const row_batch& batch) {
        handle_full_table(outcome, batch);
    });
}

void table_follower::handle_full_table(platform::store_outcome outcome, const row_batch& batch) {
    if (outcome != platform::store_outcome::done) {
        record_failure("read");
        schedule(retry_delay, &table_follower::read_again);
        return;
    }
    record_read("read", batch);
    const milliseconds settling = settling_time(batch.version);
    if (settling.count() > 0) {
        schedule(settling, &table_follower::read_again);
        return;
    }
    feed_version_ = batch.version;
    apply(batch, true);
    if (mode_ == follow_mode::poll) {
        schedule(poll_tick, &table_follower::poll);
    } else {
        wait_for_changes();
    }
}

/// Reads the table after a failure or a grace period, unless another process sends the rows.
void table_follower::read_again() {
    const bool is_needed = !cache_.is_complete || !is_needed_ || is_needed_();
    if (!is_needed && mode_ == follow_mode::poll) {
        poll();
    } else if (!is_needed) {
        wait_for_changes();
    } else {
        read_full_table();
    }
}

void table_follower::wait_for_changes() {
    if (is_needed_ && !is_needed_()) {
        // The feed continues after what the other process sent.
        feed_version_ = std::max(feed_version_, cache_.version);
        schedule(needed_check_interval, &table_follower::wait_for_changes);
        return;
    }
    call_started_at_ = std::chrono::steady_clock::now();
    store_.await_changes(table_, feed_version_, interval_,
                         [this](platform::store_outcome outcome, const row_batch& batch) {
                             handle_feed(outcome, batch);
                         });
}

void table_follower::handle_feed(platform::store_outcome outcome, const row_batch& batch) {
    if (outcome == platform::store_outcome::history_lost) {
        log_event(log_level::warning, "feed_history_lost",
                  {{"table", table_}, {"after", counter_of(feed_version_)}});
        read_full_table();
        return;
    }
    if (outcome != platform::store_outcome::done) {
        record_failure("feed");
        // The store says so if changes since then have left its history.
        schedule(retry_delay, &table_follower::wait_for_changes);
        return;
    }
    record_read("feed", batch);
    if (era_of(batch.version) > era_of(feed_version_)) {
        // Versions were given out again, so the feed may leave rows out.
        read_full_table();
        return;
    }
    feed_version_ = std::max(feed_version_, batch.version);
    apply(batch, true);
    wait_for_changes();
}

} // namespace citronseam
