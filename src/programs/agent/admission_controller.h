/// @file
/// Admission control in front of one backend server, checked just before a request is sent to it.
#ifndef CITRONSEAM_PROGRAMS_AGENT_ADMISSION_CONTROLLER_H
#define CITRONSEAM_PROGRAMS_AGENT_ADMISSION_CONTROLLER_H

#include <functional>
#include <mutex>
#include <string>

#include "citronseam/process/metrics.h"
#include "citronseam/request/admission.h"
#include "citronseam/request/verdict.h"
#include "programs/daemon/control_state_sync.h"

namespace citronseam {

/// Limits and gates the requests to one backend server. All functions may be called from any
/// thread.
class admission_controller {
public:
    /// @param zone            availability zone of the agent
    /// @param service         name of the service
    /// @param state_sync      control state; must outlive this object
    /// @param process_metrics metrics of the process; must outlive this object
    admission_controller(std::string zone, std::string service,
                         const control_state_sync& state_sync, metrics& process_metrics);

    /// Checks every condition except the concurrency limit: configuration, zone, evidence,
    /// shutdown, readiness.
    /// @return refusal::none when new requests are accepted now
    refusal check() const;

    /// Checks every condition and reserves a concurrency slot.
    /// @param is_isolated whether the request must run alone
    /// @param ticket      receives the reserved slot
    /// @return refusal::none when a slot was reserved, otherwise the reason
    refusal try_admit(bool is_isolated, admission_ticket& ticket);
    /// Records that a request was refused at the concurrency limit. The entry that sent it waits
    /// for a heartbeat that reports free capacity.
    void record_limit_refusal();
    /// @return whether there is free capacity and an entry waits for the news; then it is no longer
    /// recorded
    bool consume_limit_refusal();
    /// Releases a slot without a latency sample.
    void release_ticket(const admission_ticket& ticket);
    /// Releases a slot after a complete response.
    /// @param first_byte time from dispatch to the first byte of the response
    void release_after_response(const admission_ticket& ticket, milliseconds first_byte);

    /// Resets the limit to its cold value.
    /// @param reason why the backend server is considered cold
    void mark_cold(cold_reason reason);
    /// Sets the bounds of the limit, as configured for the service.
    void set_bounds(const admission_bounds& bounds);
    /// Sets whether the backend server can serve: it is reachable and a complete model version is
    /// loaded.
    void set_ready(bool is_ready);
    /// Marks the process as shutting down; new requests are refused from then on.
    void set_leaving();
    /// Sets the callback that runs after the limit, the readiness or the shutdown state changed. It
    /// must not block.
    void set_change_callback(std::function<void()> callback);

    /// @return the current limit, or 0 when new requests would be refused for another reason
    std::uint32_t effective_limit() const;
    /// @return number of running requests
    std::uint32_t running() const;
    /// @return whether the backend server can serve
    bool is_ready() const;
    /// @return whether the process is shutting down
    bool is_leaving() const;
    /// @return whether the limit is at its cold value
    bool is_cold() const;

private:
    void notify() const;

    std::string zone_;
    std::string service_;
    const control_state_sync& state_sync_;
    metrics& metrics_;
    std::function<void()> callback_;

    mutable std::mutex mutex_;
    admission_state state_;
    bool is_ready_{false};
    bool is_leaving_{false};
    bool has_limit_refusal_{false};
};

} // namespace citronseam

#endif
