/// @file
/// Reads the platform's list of instances again and again.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_INSTANCE_LIST_POLLER_H
#define CITRONSEAM_PROGRAMS_DAEMON_INSTANCE_LIST_POLLER_H

#include <functional>
#include <string>
#include <vector>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/membership.h"

namespace citronseam {

/// Reads the list. Everything runs on the control thread.
class instance_watch {
public:
    /// Takes a list that was read; lists that cannot be read are passed over.
    using list_handler = std::function<void(const std::vector<listed_instance>&)>;

    /// @param control  loop of the control thread
    /// @param http     client of the platform
    /// @param url      of the list
    /// @param interval time between reads
    instance_watch(io_threads& control, http_client& http, std::string url, milliseconds interval);

    /// Begins to read.
    void start(list_handler handle);

private:
    void read();
    void take(const http_answer& answer);

    io_threads& control_;
    http_client& http_;
    std::string url_;
    milliseconds interval_;
    std::string tag_; ///< of the list read last; one that did not change is not sent again
    list_handler handle_;
};

} // namespace citronseam

#endif
