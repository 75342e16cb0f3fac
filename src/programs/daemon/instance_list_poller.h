/// @file
/// Polls the platform's list of instances.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_INSTANCE_LIST_POLLER_H
#define CITRONSEAM_PROGRAMS_DAEMON_INSTANCE_LIST_POLLER_H

#include <functional>
#include <string>
#include <vector>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/membership.h"

namespace citronseam {

/// Polls the list. Everything runs on the control thread.
class instance_list_poller {
public:
    /// Receives each list that was read; failed reads, unchanged and malformed lists are skipped.
    using list_handler = std::function<void(const std::vector<listed_instance>&)>;

    /// @param control       loop of the control thread
    /// @param http          HTTP client for the platform
    /// @param url           URL of the list
    /// @param poll_interval time between reads
    instance_list_poller(io_thread_pool& control, http_client& http, std::string url,
                         milliseconds poll_interval);

    /// Starts polling.
    void start(list_handler handle);

private:
    void poll();
    void handle_response(const http_response& response);

    io_thread_pool& control_;
    http_client& http_;
    std::string url_;
    milliseconds poll_interval_;
    std::string etag_; ///< of the last list read; sent as If-None-Match to skip an unchanged list
    list_handler list_handler_;
};

} // namespace citronseam

#endif
