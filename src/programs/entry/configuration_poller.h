/// @file
/// Polls the head row of the table service and fetches newly accepted configurations.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_CONFIGURATION_POLLER_H
#define CITRONSEAM_PROGRAMS_ENTRY_CONFIGURATION_POLLER_H

#include <functional>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/table_client.h"
#include "programs/daemon/control_state_sync.h"

namespace citronseam {

/// Polls the head row, which names the accepted configuration. Everything runs on the control
/// thread.
class configuration_poller {
public:
    /// @param control         loop of the control thread
    /// @param store           client of the table service
    /// @param state_sync      receives configurations, and evidence that its state is the newest
    /// @param process_metrics metrics
    configuration_poller(io_thread_pool& control, table_client& store,
                         control_state_sync& state_sync, metrics& process_metrics);

    /// Starts polling.
    /// @param poll_interval returns the time between reads, which grows with the number of entries
    void start(std::function<milliseconds()> poll_interval);

private:
    void read_head_row();
    void handle_head_row(const result<table_row>& row, time_point requested_at);
    void fetch_configuration(const configuration_head& head, time_point requested_at);
    void schedule_read();

    io_thread_pool& control_;
    table_client& store_;
    control_state_sync& state_sync_;
    metrics& metrics_;
    std::function<milliseconds()> poll_interval_;
    bool is_reachable_{true};
};

/// Key of the head row.
constexpr const char* head_row_key = "head";

} // namespace citronseam

#endif
