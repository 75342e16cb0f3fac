/// @file
/// Reads the head row of the table service and fetches configurations that were accepted.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_CONFIGURATION_POLLER_H
#define CITRONSEAM_PROGRAMS_ENTRY_CONFIGURATION_POLLER_H

#include <functional>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/table_client.h"
#include "programs/daemon/control_state_sync.h"

namespace citronseam {

/// Watches the head row. Everything runs on the control thread.
class head_watch {
public:
    /// @param control loop of the control thread
    /// @param store   client of the table service
    /// @param hub     takes configurations and evidence
    /// @param numbers metrics
    head_watch(io_threads& control, table_client& store, control_hub& hub, metrics& numbers);

    /// Begins to read.
    /// @param interval gives the time between reads, which grows with the number of entries
    void start(std::function<milliseconds()> interval);

private:
    void read_head();
    void handle_head(const result<table_row>& row, time_point asked);
    void fetch_body(const configuration_head& head, time_point asked);
    void read_later();

    io_threads& control_;
    table_client& store_;
    control_hub& hub_;
    metrics& metrics_;
    std::function<milliseconds()> interval_;
    bool is_reachable_{true};
};

/// Key of the head row.
constexpr const char* head_row_key = "head";

} // namespace citronseam

#endif
