/// @file
/// Tells sidecars when requests get their first events at the engines beside them.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_FIRST_EVENT_REPORTER_H
#define CITRONSEAM_PROGRAMS_GATEWAY_FIRST_EVENT_REPORTER_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/wire_message.h"
#include "citronseam/process/metrics.h"

namespace citronseam {

/// Sends each report to the sidecar that reports on the engine of that address. A sidecar that has
/// just got one gets the next ones together a moment later. Reports are dropped while no sidecar of
/// the address is connected: it decides on those of others then.
class first_event_reporter {
public:
    /// Sends a frame to a process.
    /// @return whether it is connected
    using frame_sender =
        std::function<bool(const std::string& instance, const shared_frame& frame)>;

    /// @param control loop on which reports are sent
    first_event_reporter(io_thread_pool& control, metrics& metric_registry)
        : control_(control), metrics_(metric_registry) {}

    /// Sets the function that sends frames. It runs on the control thread.
    void set_sender(frame_sender send) { send_ = std::move(send); }
    /// Records which process reports on an engine. Control thread.
    /// @param address of the engine
    void set_sidecar(const std::string& address, const std::string& instance);
    /// Sends a report. May be called from any thread.
    void report(wire::first_event_reportT report);

private:
    struct sidecar_queue {
        std::string instance;
        time_point sent_at;
        bool is_scheduled{false};
        std::vector<shared_frame> waiting;
    };

    void add(wire::first_event_reportT report);
    void flush(const std::string& address);

    io_thread_pool& control_;
    metrics& metrics_;
    frame_sender send_;
    std::map<std::string, sidecar_queue> sidecars_; ///< by address of the engine; control thread
};

} // namespace citronseam

#endif
