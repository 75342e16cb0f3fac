/// @file
/// Decides, at the last moment, whether the backend server may get one more request.
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

/// Guards one backend server. All functions may be called from any thread.
class admission_gate {
public:
    /// @param zone    availability zone of the agent
    /// @param service name of the service
    /// @param hub     control state; must outlive this object
    /// @param numbers metrics; must outlive this object
    admission_gate(std::string zone, std::string service, const control_hub& hub, metrics& numbers);

    /// Checks everything but the limit: configuration, zone, evidence, leaving, readiness.
    /// @return refusal::none when new work may begin now
    refusal check() const;

    /// Checks everything and takes a place.
    /// @param is_isolated whether the request must run alone
    /// @param ticket      receives the place
    refusal enter(bool is_isolated, admission_ticket& ticket);
    /// @return whether a request was refused for want of room since the last call; those who sent
    /// it wait for word that there is room again
    bool take_refused_mark();
    /// Gives a place back without evidence.
    void leave(const admission_ticket& ticket);
    /// Gives a place back after a whole answer.
    void leave_answered(const admission_ticket& ticket, milliseconds first_byte);

    /// Takes the backend server as cold from now on.
    void turn_cold(cold_sign sign);
    /// Takes the bounds of the service.
    void set_bounds(const admission_bounds& bounds);
    /// Says whether the backend server can serve: reachable and with a whole version.
    void set_ready(bool is_ready);
    /// Says that the process is on its way out.
    void set_leaving();
    /// Sets what is called after the limit or readiness changed; it must not block.
    void on_change(std::function<void()> callback);

    /// @return present limit, 0 when new work would be refused for another reason
    std::uint32_t open_limit() const;
    /// @return requests that run
    std::uint32_t running() const;
    /// @return whether the backend server can serve
    bool is_ready() const;
    /// @return whether the process is on its way out
    bool is_leaving() const;
    /// @return whether the limit stands at its cold value
    bool is_cold() const;

private:
    void notify() const;

    std::string zone_;
    std::string service_;
    const control_hub& hub_;
    metrics& metrics_;
    std::function<void()> callback_;

    mutable std::mutex mutex_;
    admission_state state_;
    bool is_ready_{false};
    bool is_leaving_{false};
    bool has_refused_{false};
};

} // namespace citronseam

#endif
