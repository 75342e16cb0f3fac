/// @file
/// The parts that gateways and sidecars share: the store client, the operator's table and the
/// connections to other processes.
#ifndef CITRONSEAM_PROGRAMS_NODE_CLUSTER_NODE_H
#define CITRONSEAM_PROGRAMS_NODE_CLUSTER_NODE_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/member.h"
#include "citronseam/process/metrics.h"
#include "citronseam/process/missing_versions.h"
#include "citronseam/process/pending_request.h"
#include "citronseam/process/random.h"
#include "citronseam/process/row_transfer.h"
#include "citronseam/process/settings.h"
#include "citronseam/process/zone_reader.h"
#include "citronseam/request/shared_quota.h"
#include "programs/node/member_mesh.h"
#include "programs/node/store_client.h"
#include "programs/node/table_follower.h"

namespace citronseam {

/// Callbacks of cluster_node. All run on the control thread.
struct cluster_observer {
    /// Rows of the operator's table changed.
    std::function<void(const std::vector<versioned_row>&)> on_operator_rows;
    /// The set of known or connected processes changed, or the readiness of one.
    std::function<void()> on_members_changed;
    /// The time since which the operator's table is known to be outdated changed; may be empty.
    std::function<void()> on_outdated_changed;
    /// The store told this process that it was restored from a copy; may be empty.
    std::function<void()> on_store_restored;
    /// A process sent its heartbeat.
    std::function<void(const connected_member& from, const wire::member_beat& heartbeat)>
        on_heartbeat;
    /// A gateway listed the sidecars of a service; may be empty.
    std::function<void(const wire::neighbours_reply&)> on_neighbours_reply;
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

/// Registers this process, follows the operator's table and connects to the other processes. All
/// functions run on the control thread.
class cluster_node {
public:
    /// @param options settings; must outlive this object
    cluster_node(const settings& options, io_thread_pool& control, http_client& http,
                 metrics& metric_registry, cluster_observer observer);

    /// Listens, registers, follows the operator's table and connects to the other processes.
    /// @param tables further tables whose rows are sent to processes that request them
    void start(const std::vector<table_follower*>& tables);
    /// Closes all connections.
    void stop();

    /// @return the process's only store client
    store_client& store() noexcept { return store_; }
    /// @return connections to other processes
    member_mesh& mesh() noexcept { return *mesh_; }
    /// @return version of the newest known row of the operator's table
    std::uint64_t operator_version() const noexcept;
    /// @return since when this process knows that another gateway has newer rows of the operator's
    /// table; nullopt while its copy is the newest that it knows of
    std::optional<time_point> outdated_since() const noexcept {
        return missing_since(missing_operator_versions_);
    }
    /// @return newest version of the operator's table that a connected gateway announces
    std::uint64_t announced_operator_version() const noexcept {
        return announced_operator_version_;
    }
    /// @return when the store last answered about the operator's table
    time_point operator_read_at() const noexcept { return operator_rows_.last_read_at(); }
    /// @return the gateways that ever registered, this process included: those that share the
    /// system-wide limits. Empty until the others are known from the store or from one of them.
    sender_list gateways() const;
    /// @return whether this process polls the server list for its zone and sends the changes to its
    /// other gateways
    bool is_server_reader() const;
    /// @return whether other gateways have had newer rows of the server list for longer than its
    /// changes may take; requests the rows in that case
    bool is_server_list_outdated();
    /// @return number of this process's successful reads of the operator's table
    std::uint64_t operator_reads() const noexcept { return operator_rows_.read_count(); }
    /// Sends rows to the connected processes of the own zone.
    /// @param role of those processes
    void send_rows_to_zone(process_role role, const std::string& table, const row_batch& batch);
    /// @return the gateway to ask for lists of processes, each time another one, of the own zone if
    /// one is connected; nullptr when none is connected
    const connected_member* next_informant();
    /// Adds gateways that another process listed.
    void add_gateways(const wire::neighbours_reply& reply);
    /// Adds the store's era and its age to a heartbeat.
    void add_store_era(wire::member_beatT& heartbeat) const;
    /// @return this process
    const member& self() const noexcept { return self_; }

private:
    /// A large answer and its receiver.
    struct sent_rows {
        std::uint64_t session{0};
        std::string table;
        row_transfer transfer;
    };

    mesh_observer make_mesh_observer();
    void apply_rows_from_member(const connected_member& from, const std::string& table,
                                const rows_answer& answer);
    rows_answer make_answer(const connected_member& from, const std::string& table,
                            std::uint64_t after);
    void reduce_for_sidecars(row_batch& batch);
    void apply_operator_rows(const table_change& change);
    void apply_member_rows(const table_change& change);
    void add_member(const member& process);
    void update_members_interval();
    void register_self();
    void register_in_new_era();
    void follow_members();
    void update_targets();
    void handle_offer(const connected_member& from, const std::string& table,
                      std::uint64_t version);
    milliseconds rows_grace(const connected_member& from) const;
    bool are_rows_missing(const std::string& table, std::uint64_t version);
    bool is_rows_request_outstanding(const std::string& table);
    void learn_store_era(const wire::member_beat& heartbeat);
    void update_outdated(std::uint64_t announced);
    void update_server_list_lag(std::uint64_t announced);
    std::uint64_t newest_announced_version() const;
    bool is_announcer_lost() const;
    void request_rows(const std::string& instance, const std::string& table, std::uint64_t version);
    void request_rows_from_any(const std::string& table);
    void handle_busy(const connected_member& from, const std::string& table);
    std::size_t transfers_under_way();
    void forget_lost_requests();
    std::string preferred_gateway() const;
    bool is_operator_reader() const;
    bool is_reader(time_point connected_member::*read_at, const reader_policy& policy) const;

    const settings& options_;
    io_thread_pool& control_;
    metrics& metrics_;
    cluster_observer observer_;
    store_client store_;
    member self_;
    std::shared_ptr<member_mesh> mesh_;
    table_follower operator_rows_;
    table_follower member_rows_;
    std::map<std::string, table_follower*, std::less<>> shared_tables_;
    std::map<std::string, member> known_members_; ///< by instance
    std::vector<sent_rows> transfers_;            ///< large answers that may be under way
    std::map<std::uint64_t, time_point> busy_at_; ///< when a session's process was busy
    std::set<std::string> tables_to_retry_;       ///< whose sources were all busy
    random_source random_{seeded_random_source()};
    std::map<std::string, versioned_row> reduced_rows_;    ///< for sidecars, by key
    std::map<std::string, pending_request> rows_requests_; ///< requests for rows, by table
    missing_versions missing_operator_versions_;
    missing_versions missing_server_versions_;
    std::uint64_t announced_operator_version_{0}; ///< newest of the connected gateways
    bool is_registering_{false};                  ///< a write of the own row is outstanding
    bool must_register_again_{false};             ///< once the outstanding write has ended
    bool is_following_members_{false};
    std::optional<std::uint64_t> registered_era_; ///< of the store, when this process registered
    bool is_reading_operator_rows_{false};        ///< as the follower was last told
    time_point started_at_;
    std::size_t informant_turn_{0};
};

} // namespace citronseam

#endif
