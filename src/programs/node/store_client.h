/// @file
/// Client of the platform's store for gateways and sidecars.
#ifndef CITRONSEAM_PROGRAMS_NODE_STORE_CLIENT_H
#define CITRONSEAM_PROGRAMS_NODE_STORE_CLIENT_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/metrics.h"
#include "citronseam/process/store_era.h"
#include "citronseam/process/versioned_row.h"
#include "platform/store.h"

namespace citronseam {

/// Reads and writes rows. All functions and callbacks run on the control thread.
class store_client {
public:
    using batch_handler = std::function<void(platform::store_outcome, const row_batch&)>;
    using write_handler = std::function<void(platform::store_outcome)>;

    /// @param address `host:port` of the store
    store_client(io_thread_pool& control, http_client& http, metrics& metric_registry,
                 const std::string& address);

    /// Reads a whole table, page by page.
    void read_table(const std::string& table, batch_handler done);
    /// Waits up to `wait` for changes of a table after a version.
    void await_changes(const std::string& table, std::uint64_t after, milliseconds wait,
                       batch_handler done);
    /// Writes a row unconditionally.
    void write_row(const std::string& table, const std::string& key, const std::string& value,
                   write_handler done);

    /// Sets what is called when a response of the store is the first news of an era.
    void set_era_handler(std::function<void()> handle) { handle_new_era_ = std::move(handle); }
    /// Records news of the store's era from another process.
    /// @param since when that process knew of it
    /// @return whether the era is new to this process
    bool learn_era(std::uint64_t era, time_point since) {
        return citronseam::learn_era(era_, era, since);
    }
    /// @return the newest era that this process knows of
    const store_era& era() const noexcept { return era_; }

private:
    void read_page(const std::string& table, const std::string& first, row_batch collected,
                   batch_handler done);
    void call(const char* name, http_request request, milliseconds wait,
              std::function<void(const http_response&)> done);
    std::optional<platform::row_page> parse_page(const std::string& table,
                                                 const http_response& response,
                                                 platform::store_outcome& outcome);
    void log_faults(const std::string& table, const std::vector<std::string>& faults);
    void record_outcome(const char* name, platform::store_outcome outcome,
                        const std::string& message);

    io_thread_pool& control_;
    http_client& http_;
    metrics& metrics_;
    std::string base_url_;
    bool is_available_{true};
    store_era era_;
    std::function<void()> handle_new_era_;
    std::map<std::string, std::set<std::string>> logged_faults_; ///< by table
};

} // namespace citronseam

#endif
