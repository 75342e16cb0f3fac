#include "programs/node/table_follower.h"

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

/// Pause after a failed call: well below the bounds within which a change must be in force, and few
/// enough calls that all processes together stay within the store's rates.
constexpr milliseconds pause_after_failure{250};
/// How often is asked whether the table must be read after all.
constexpr milliseconds pause_while_not_needed{500};
/// Granularity of the time between reads.
constexpr milliseconds poll_tick{100};

} // namespace

table_follower::table_follower(io_threads& control, store_client& store, std::string table,
                               follow_mode mode, milliseconds interval)
    : control_(control), store_(store), table_(std::move(table)), mode_(mode), interval_(interval) {
}

void table_follower::start(change_handler handle) {
    handle_ = std::move(handle);
    read_whole();
}

void table_follower::take(const row_batch& batch) {
    const bool is_first = cache_.version == 0;
    const auto changed = merge(cache_, batch);
    if (handle_ && (!changed.empty() || is_first)) {
        handle_(changed);
    }
}

void table_follower::later(milliseconds delay, void (table_follower::*step)()) {
    control_.post_after(delay, [this, step] { (this->*step)(); });
}

/// Reads when the interval is over.
void table_follower::poll() {
    if (std::chrono::steady_clock::now() - asked_at_ >= interval_) {
        read_whole();
    } else {
        later(poll_tick, &table_follower::poll);
    }
}

void table_follower::read_whole() {
    asked_at_ = std::chrono::steady_clock::now();
    store_.read_table(table_, [this](platform::store_outcome outcome, const row_batch& batch) {
        handle_whole(outcome, batch);
    });
}

void table_follower::handle_whole(platform::store_outcome outcome, const row_batch& batch) {
    if (outcome != platform::store_outcome::done) {
        later(pause_after_failure, &table_follower::read_whole);
        return;
    }
    read_at_ = std::chrono::steady_clock::now();
    feed_version_ = batch.version;
    take(batch);
    if (mode_ == follow_mode::poll) {
        later(poll_tick, &table_follower::poll);
    } else {
        wait_for_changes();
    }
}

void table_follower::wait_for_changes() {
    if (is_needed_ && !is_needed_()) {
        // The feed goes on where the other process's rows ended.
        feed_version_ = std::max(feed_version_, newest_version(cache_));
        later(pause_while_not_needed, &table_follower::wait_for_changes);
        return;
    }
    store_.await_changes(table_, feed_version_, interval_,
                         [this](platform::store_outcome outcome, const row_batch& batch) {
                             handle_feed(outcome, batch);
                         });
}

void table_follower::handle_feed(platform::store_outcome outcome, const row_batch& batch) {
    if (outcome == platform::store_outcome::history_lost) {
        log_event(log_level::warning, "feed_history_lost",
                  {{"table", table_}, {"after", feed_version_}});
        read_whole();
        return;
    }
    if (outcome != platform::store_outcome::done) {
        // What changed meanwhile may have left the history, so the table is read again.
        later(pause_after_failure, &table_follower::read_whole);
        return;
    }
    read_at_ = std::chrono::steady_clock::now();
    feed_version_ = std::max(feed_version_, batch.version);
    take(batch);
    wait_for_changes();
}

} // namespace citronseam
