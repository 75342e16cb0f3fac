/// @file
/// Connections to the other processes of the system, and their messages.
#ifndef CITRONSEAM_PROGRAMS_NODE_MEMBER_MESH_H
#define CITRONSEAM_PROGRAMS_NODE_MEMBER_MESH_H

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/connection/dialer.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/peer_listener.h"
#include "citronseam/connection/peer_session.h"
#include "citronseam/connection/wire_message.h"
#include "citronseam/process/member.h"
#include "citronseam/process/versioned_row.h"

namespace citronseam {

/// A connected process.
struct connected_member {
    member process;
    std::shared_ptr<peer_session> session;
    bool is_ready{false};
    std::uint64_t operator_version{0}; ///< version of its newest row of the operator's table
    std::uint64_t servers_version{0};  ///< version of its copy of the server list
    std::uint64_t server_reads{0};     ///< number of its own reads of the server list
    time_point servers_read_at;        ///< when server_reads last increased
    std::uint64_t operator_reads{0};   ///< number of its own reads of the operator's table
    time_point operator_read_at;       ///< when operator_reads last increased
    std::size_t gateway_count{0};      ///< gateways that it knows of; of gateways only
    time_point beat_sent_at;           ///< when this process last sent it a heartbeat
};

/// Timing of the connections between processes. Heartbeats to other zones are rarer, since links
/// between zones and regions are scarce; their interval is remote_heartbeat_interval().
struct mesh_timing {
    session_timing same_zone{milliseconds(500), milliseconds(2000)};
    milliseconds other_zones_silence_timeout{4500};
    /// After a stop of this process: longer than the interval of the heartbeats, and short enough
    /// that lost processes are forgotten before this one counts as in touch again.
    milliseconds other_zones_confirmation_timeout{2300};
};

/// Answer to a request for rows.
struct rows_answer {
    row_batch rows;
    bool is_reduced{false}; ///< values hold only what a sidecar reads
    bool is_busy{false};    ///< no rows now; another process may send them
};

/// Callbacks of a mesh. All run on the control thread.
struct mesh_observer {
    /// A process connected, was lost, or changed its readiness.
    std::function<void()> on_members_changed;
    /// A process sent its heartbeat.
    std::function<void(const connected_member& from, const wire::member_beat& heartbeat)>
        on_heartbeat;
    /// A process requested the rows of a table after a version.
    std::function<rows_answer(const connected_member& from, const std::string& table,
                              std::uint64_t after)>
        on_rows_request;
    /// A gateway listed the sidecars of a service.
    std::function<void(const wire::neighbours_reply&)> on_neighbours_reply;
    /// A process sent rows.
    std::function<void(const connected_member& from, const std::string& table,
                       const rows_answer& answer)>
        on_rows;
    /// A gateway reported the loss of a backend server; may be empty.
    std::function<void(const wire::server_loss_report&)> on_loss_report;
    /// A gateway reported requests whose server went on; may be empty.
    std::function<void(const wire::survival_report&)> on_survival_report;
    /// A gateway reported the limit that a backend server names; may be empty.
    std::function<void(const wire::limit_report&)> on_limit_report;
    /// A gateway reported when a request got its first event at an engine; may be empty.
    std::function<void(const wire::first_event_report&)> on_first_event_report;
    /// @return frames for a process that has just connected; may be empty
    std::function<std::vector<shared_frame>(const member& process)> make_greeting;
};

/// Keeps one connection to each target process and accepts connections from others. A connection
/// without messages for the silence timeout is closed, and its process counts as lost until it
/// reconnects. All functions run on the control thread.
class member_mesh : public std::enable_shared_from_this<member_mesh> {
public:
    /// @param control  loop of the control thread; runs the sockets
    /// @param self     this process
    /// @param timing   heartbeat intervals and silence timeouts
    /// @param observer receives events and messages
    member_mesh(io_thread_pool& control, member self, mesh_timing timing, mesh_observer observer);

    /// Accepts connections from other processes.
    void listen(const host_port& address);
    /// Replaces the set of processes to connect to: peer addresses by name.
    void set_targets(std::map<std::string, std::string> targets);
    /// Replaces the heartbeat message.
    void set_heartbeat(const wire::member_beatT& heartbeat);
    /// Sends a heartbeat to the connected processes at once.
    /// @param is_same_region_only whether only processes of the own region receive it
    void broadcast(wire::member_beatT heartbeat, bool is_same_region_only);
    /// Sends a frame to one process, if it is connected.
    /// @return whether it is
    bool send_to(std::string_view instance, const shared_frame& frame);
    /// Sends a frame to the connected gateways.
    void send_to_gateways(const shared_frame& frame);
    /// Sends the heartbeat at once to the connected processes of the own zone.
    void send_heartbeat_to_zone();
    /// Sends the heartbeat at once to the connected gateways of the other zones.
    void send_heartbeat_to_other_zones();
    /// Requests the sidecars of a service from a gateway.
    /// @param known fingerprint of the list that this process has, 0: none
    void request_neighbours(const connected_member& from, const std::string& service,
                            std::uint64_t known);
    /// Sends rows to a process without a request.
    void send_rows(const connected_member& to, const std::string& table, const row_batch& rows);
    /// Requests rows after a version from a process.
    void request_rows(const connected_member& from, const std::string& table, std::uint64_t after);
    /// Closes all connections.
    void stop();

    /// @return number of connections to gateways of other regions
    std::size_t remote_gateway_count() const;
    /// @return the connected processes, one entry for each instance
    std::vector<const connected_member*> members() const;

private:
    using session_pointer = std::shared_ptr<peer_session>;

    shared_frame make_hello() const;
    milliseconds heartbeat_interval_for(const member& process) const;
    shared_frame take_due_heartbeat(const session_pointer& session);
    session_observer make_observer();
    void handle_hello(const session_pointer& session, const wire::hello& hello);
    void handle_message(const session_pointer& session, const wire::envelope& message);
    void handle_closed(const session_pointer& session, close_reason reason);
    void send_rows_reply(const connected_member& to, const wire::rows_request& request);
    void send_neighbours_reply(const session_pointer& session,
                               const wire::neighbours_request& request);
    void handle_rows_reply(const connected_member& from, const wire::rows_reply& reply);

    io_thread_pool& control_;
    member self_;
    mesh_timing timing_;
    mesh_observer observer_;
    std::shared_ptr<peer_listener> listener_;
    std::shared_ptr<dialer> dialer_;
    std::map<std::uint64_t, connected_member> sessions_; ///< by session number
    shared_frame heartbeat_;                             ///< for other zones
    shared_frame zone_heartbeat_;                        ///< for the own zone; it has the demand
};

} // namespace citronseam

#endif
