/// @file
/// What was disturbed, announced and received when, and the promises that depend on it.
#ifndef CITRONSEAM_TESTS_SOAK_TIMELINE_H
#define CITRONSEAM_TESTS_SOAK_TIMELINE_H

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "citronseam/process/clock.h"

#include "soak/promises.h"
#include "soak/soak_plan.h"

namespace citronseam::soak {

/// After a disturbance, a machine is bound by a promise with a time only this much later
/// (`contact_ms`).
inline constexpr milliseconds contact_time{3000};
/// From the acknowledgement of a configuration until it is in force (`config_apply_ms`).
inline constexpr milliseconds configuration_bound{2000};
/// From the acknowledgement that a server leaves until it gets no more requests
/// (`drain_timeout_ms`).
inline constexpr milliseconds leaving_bound{2000};
/// The same for an evacuated zone (`evacuate_ms`).
inline constexpr milliseconds evacuation_bound{5000};

/// A gateway, sidecar, server or connection to the store.
using fault_target = std::pair<target_kind, std::size_t>;

/// What the configurations of a run differ in, as far as callers see it.
struct configuration_state {
    bool has_later_route{false};
    bool has_guest_key{true};
};

/// One request of a caller with its times.
struct timed_exchange {
    soak_request request;
    std::size_t gateway{0};
    time_point sent_at;
    time_point ended_at;
    caller_answer answer;
};

/// Records a run and checks LOST, CONFIG and DRAIN. All times are arguments. May be used from any
/// thread. A disturbance is recorded before it begins and after it has ended.
class timeline {
public:
    /// @param is_planned whether it excuses no lost request, such as SIGTERM
    void begin_fault(fault_target target, bool is_planned, time_point at);
    void end_fault(fault_target target, time_point at);

    /// Records a configuration that is about to be written.
    void propose(configuration_state state, time_point at);
    /// Records that the store has acknowledged the newest one.
    void acknowledge(time_point at);

    /// Records that the store has acknowledged that a server gets no more requests.
    /// @param reason `leaving` or the name of the zone
    void close_server(const std::string& server, const std::string& reason, milliseconds bound,
                      time_point at);
    /// Records that a reason no longer holds.
    void open_server(const std::string& server, const std::string& reason);

    /// Records which gateway gets a request.
    void send(const std::string& request, std::size_t gateway);
    /// Records that a request has reached a server.
    /// @param link the connections to the server
    std::optional<breach> check_arrival(const std::string& server, fault_target link,
                                        const std::string& request, time_point at);
    /// Checks a request that has ended.
    /// @param servers connections to the servers of its service
    std::optional<breach> check_exchange(const timed_exchange& exchange,
                                         const std::vector<fault_target>& servers);
    /// @return how often a promise was checked while the machines were undisturbed
    std::string summary() const;

private:
    struct disturbance {
        time_point begin;
        std::optional<time_point> end; ///< empty while it lasts
        bool is_planned;
    };
    struct announced_configuration {
        configuration_state state;
        time_point proposed_at;
        std::optional<time_point> acknowledged_at;
    };
    struct closing {
        time_point at;
        milliseconds bound;
    };
    bool is_disturbed(fault_target target, time_point from, time_point to, bool with_planned) const;
    bool is_gateway_disturbed(std::size_t gateway, time_point from, time_point to,
                              bool with_planned) const;
    std::optional<breach> check_lost(const timed_exchange& exchange,
                                     const std::vector<fault_target>& servers);
    std::optional<breach> check_configuration(const timed_exchange& exchange);

    mutable std::mutex mutex_;
    std::map<fault_target, std::vector<disturbance>> disturbances_;
    std::deque<announced_configuration> configurations_;            ///< the newest one first
    std::map<std::pair<std::string, std::string>, closing> closed_; ///< by server and reason
    std::map<std::string, std::size_t> gateways_;                   ///< by request
    std::set<std::string> arrived_;
    std::map<promise, int> check_counts_; ///< at undisturbed machines
};

} // namespace citronseam::soak

#endif
