/// @file
/// Holds the control state of one process and synchronizes it with its peers.
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
#include "citronseam/process/pending_request.h"

namespace citronseam {

/// Snapshot of the control state for traffic threads. Immutable once published.
using control_view = std::shared_ptr<const control_state>;

/// Owns the control state. The state changes on the control thread only; other threads read the
/// view published last. Evidence is a time at which the state was known to be the newest.
class control_state_sync {
public:
    /// @param control         loop of the control thread
    /// @param process_metrics metrics of the process
    control_state_sync(io_thread_pool& control, metrics& process_metrics);

    /// @return the view published last; may be called from any thread
    control_view view() const;

    /// Sets the callback that runs on the control thread after the state changed.
    void on_change(std::function<void(const control_view&)> callback);

    /// Fills in the control fields of a heartbeat. May be called from any thread.
    /// @param peer number of the session the heartbeat goes to
    void fill_heartbeat(wire::heartbeatT& heartbeat, std::uint64_t peer) const;

    /// Adds the bytes that a session transferred since the last call to the metrics. May be called
    /// from any thread.
    void count_bytes(peer_session& session) const;

    /// Handles a message about control state: heartbeat, configuration request or configuration.
    /// May be called from any thread.
    /// @return false when the message is of another type
    bool handle_message(const std::shared_ptr<peer_session>& from, const wire::envelope& message);
    /// Applies the notices, evidence and generation of a heartbeat. May be called from any thread.
    void handle_heartbeat(const std::shared_ptr<peer_session>& from,
                          const wire::heartbeat& message);
    /// Answers a request for the configuration. May be called from any thread.
    void handle_configuration_request(const std::shared_ptr<peer_session>& from,
                                      const wire::configuration_request& message) const;
    /// Checks and applies a configuration that another process sent. May be called from any thread.
    void handle_configuration(const wire::configuration_body& message);
    /// Drops the timestamps of a closed session and ends its configuration request. May be called
    /// from any thread.
    void remove_session(std::uint64_t peer);

    /// Applies an accepted configuration if it is newer. Runs on the control thread.
    void apply_configuration(std::shared_ptr<const accepted_configuration> accepted);
    /// Applies an operator's notice on the control thread. May be called from any thread.
    void post_notice(zone_notice notice);
    /// Applies evidence that the state was the newest at `moment`, on the control thread. May be
    /// called from any thread.
    void post_evidence(time_point moment);

    /// @return the latest timestamp of this process that the peer of a session has echoed;
    /// time_point{} when there is none
    time_point last_echo(std::uint64_t peer) const;

private:
    void request_configuration(peer_session& from, std::uint64_t generation);
    void end_configuration_request(std::uint64_t peer);
    void publish();

    io_thread_pool& control_;
    metrics& metrics_;
    std::function<void(const control_view&)> change_callback_;
    control_state state_;                   ///< control thread only
    pending_request configuration_request_; ///< control thread only

    struct peer_timestamps {
        std::uint64_t received_ms{0}; ///< last timestamp of the peer
        time_point echoed_at;         ///< latest own timestamp that the peer echoed
    };
    mutable std::mutex mutex_;
    control_view view_;
    std::map<std::uint64_t, peer_timestamps> timestamps_by_session_;
};

} // namespace citronseam

#endif
