/// @file
/// Keeps the causes of crashes in the platform's store.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_CRASH_CAUSE_TABLE_H
#define CITRONSEAM_PROGRAMS_GATEWAY_CRASH_CAUSE_TABLE_H

#include <set>
#include <vector>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/request/crash_cause.h"
#include "programs/gateway/crash_evidence.h"
#include "programs/node/store_client.h"

namespace citronseam {

/// Writes each cause that this gateway has a part in finding, and reads all of them once at its
/// start. All functions run on the control thread.
class crash_cause_table {
public:
    crash_cause_table(io_thread_pool& control, store_client& store, crash_evidence& crashes);

    /// Reads the table, and writes the causes that are found from now on.
    void start();
    /// @return whether the table was read
    bool is_read() const noexcept { return is_read_; }

private:
    void read();
    void restore(const row_batch& batch);
    void write_changes(const std::vector<trait_set>& refused);
    void write(const crash_cause& cause);
    bool is_outdated(const crash_cause& cause) const;

    io_thread_pool& control_;
    store_client& store_;
    crash_evidence& crashes_;
    std::set<trait_set> written_;
    bool is_read_{false};
};

} // namespace citronseam

#endif
