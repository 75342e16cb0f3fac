#include "programs/gateway/crash_cause_table.h"

#include <algorithm>

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

constexpr const char* causes_table = "citronseam_crash_causes";
constexpr milliseconds retry_delay{300};

} // namespace

crash_cause_table::crash_cause_table(io_thread_pool& control, store_client& store,
                                     crash_evidence& crashes)
    : control_(control), store_(store), crashes_(crashes) {}

void crash_cause_table::start() {
    crashes_.set_cause_handler(
        [this](const std::vector<trait_set>& refused) { write_changes(refused); });
    read();
}

void crash_cause_table::read() {
    store_.read_table(causes_table,
                      [this](platform::store_outcome outcome, const row_batch& batch) {
                          if (outcome != platform::store_outcome::done) {
                              control_.post_after(retry_delay, [this] { read(); });
                              return;
                          }
                          restore(batch);
                          is_read_ = true;
                      });
}

void crash_cause_table::restore(const row_batch& batch) {
    const std::uint64_t now_ms = wall_clock_ms();
    for (const versioned_row& row : batch.rows) {
        const auto cause = parse_crash_cause(row.value);
        if (!cause) {
            log_event(log_level::warning, "crash_cause_unreadable",
                      {{"row", row.key}, {"reason", cause.error().message}});
        } else if (cause->refused_until_ms > now_ms) {
            crashes_.restore_cause(cause->traits, milliseconds(cause->refused_until_ms - now_ms));
        }
    }
}

void crash_cause_table::write_changes(const std::vector<trait_set>& refused) {
    const std::uint64_t until_ms = wall_clock_ms() + crashes_.expires_in().count();
    for (const trait_set& traits : refused) {
        if (written_.insert(traits).second) {
            write({traits, until_ms});
        }
    }
    std::vector<trait_set> cleared;
    std::copy_if(written_.begin(), written_.end(), std::back_inserter(cleared),
                 [&](const trait_set& traits) {
                     return std::find(refused.begin(), refused.end(), traits) == refused.end();
                 });
    for (const trait_set& traits : cleared) {
        written_.erase(traits);
        write({traits, 0});
    }
}

/// @return whether the cause was cleared, or found again, since
bool crash_cause_table::is_outdated(const crash_cause& cause) const {
    return (written_.count(cause.traits) > 0) != (cause.refused_until_ms > 0);
}

void crash_cause_table::write(const crash_cause& cause) {
    store_.write_row(causes_table, crash_cause_key(cause.traits), to_json(cause),
                     [this, cause](platform::store_outcome outcome) {
                         if (outcome != platform::store_outcome::done && !is_outdated(cause)) {
                             control_.post_after(retry_delay, [this, cause] {
                                 if (!is_outdated(cause)) {
                                     write(cause);
                                 }
                             });
                         }
                     });
}

} // namespace citronseam
