/// @file
/// Spreads and keeps the control state of one process.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_CONTROL_STATE_SYNC_H
#define CITRONSEAM_PROGRAMS_DAEMON_CONTROL_STATE_SYNC_H

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/peer_session.h"
#include "citronseam/process/control_state.h"
#include "citronseam/process/metrics.h"

namespace citronseam {

/// A copy of the control state that traffic threads read. Immutable once published.
using control_view = std::shared_ptr<const control_state>;

/// Owns the control state. The state changes on the control thread only; other threads read the
/// view published last.
class control_hub {
public:
    /// @param control loop of the control thread
    /// @param numbers metrics of the process
    control_hub(io_threads& control, metrics& numbers);

    /// @return the view published last; may be called from any thread
    control_view view() const;

    /// Sets what is called on the control thread after the state changed.
    void on_change(std::function<void(const control_view&)> callback);

    /// Fills in what every heartbeat carries. May be called from any thread.
    /// @param peer number of the session the heartbeat goes to
    void fill_heartbeat(wire::heartbeatT& heartbeat, std::uint64_t peer) const;

    /// Adds the bytes of a session since the last call to the metrics. May be called from any
    /// thread.
    void count_bytes(peer_session& session) const;

    /// Takes a message if it is about control state: heartbeat, question for the configuration, or
    /// configuration. May be called from any thread.
    /// @return whether it was
    bool handle_message(const std::shared_ptr<peer_session>& from, const wire::envelope& message);
    /// Takes what a heartbeat says. May be called from any thread.
    void handle_heartbeat(const std::shared_ptr<peer_session>& from,
                          const wire::heartbeat& message);
    /// Answers a request for the configuration. May be called from any thread.
    void handle_request(const std::shared_ptr<peer_session>& from,
                        const wire::configuration_request& message) const;
    /// Takes a configuration that another process sent. May be called from any thread.
    void handle_body(const wire::configuration_body& message);
    /// Forgets a session.
    void forget(std::uint64_t peer);

    /// Takes a configuration that is known to be accepted. Runs on the control thread.
    void take(std::shared_ptr<const accepted_configuration> accepted);
    /// Takes an operator's notice. May be called from any thread.
    void take_notice_later(zone_notice notice);
    /// Takes evidence that the state was the newest at `moment`. May be called from any thread.
    void take_evidence_later(time_point moment);

    /// @return for a session, the latest moment of this process's clock that the other side has
    /// answered to; time_point{} when there is none
    time_point last_echo(std::uint64_t peer) const;

private:
    void publish();

    io_threads& control_;
    metrics& metrics_;
    std::function<void(const control_view&)> callback_;
    control_state state_; ///< control thread only

    struct peer_stamps {
        std::uint64_t heard_ms{0}; ///< last stamp of the other side
        time_point echoed;         ///< last own stamp that came back
    };
    mutable std::mutex mutex_;
    control_view view_;
    std::map<std::uint64_t, peer_stamps> stamps_;
};

} // namespace citronseam

#endif
