/// @file
/// What a gateway and a sidecar have in common: the store, the operator's table, the other
/// processes.
#ifndef CITRONSEAM_PROGRAMS_NODE_CLUSTER_NODE_H
#define CITRONSEAM_PROGRAMS_NODE_CLUSTER_NODE_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/process/member.h"
#include "citronseam/process/metrics.h"
#include "citronseam/process/settings.h"
#include "programs/node/member_mesh.h"
#include "programs/node/store_client.h"
#include "programs/node/table_follower.h"

namespace citronseam {

/// What the owner wants to hear. All functions run on the control thread.
struct node_observer {
    /// Rows of the operator's table changed.
    std::function<void(const std::vector<versioned_row>&)> on_operator_rows;
    /// A process came, went, or changed its readiness.
    std::function<void()> on_members;
    /// A process sent its regular message.
    std::function<void(const connected_member& from, const wire::member_beat& beat)> on_beat;
    /// A gateway told who the sidecars of a service are; may be empty.
    std::function<void(const wire::neighbours_reply&)> on_neighbours;
};

/// The links of one process. Everything runs on the control thread.
class node_links {
public:
    /// @param options settings; must outlive this object
    /// @param timing  of the connections between processes
    node_links(const settings& options, io_threads& control, http_client& http, metrics& numbers,
               session_timing timing, node_observer observer);

    /// Begins: listens, registers, follows the operator's table and finds the others.
    /// @param tables further tables whose rows are given to processes that ask
    void start(const std::vector<table_follower*>& tables);
    /// Closes all connections.
    void stop();

    /// @return the only client of the store
    store_client& store() noexcept { return store_; }
    /// @return connections to other processes
    member_mesh& mesh() noexcept { return *mesh_; }
    /// @return version of the newest row of the operator's table that is held
    std::uint64_t operator_version() const noexcept { return operator_version_; }
    /// @return when the store last answered about the operator's table
    time_point operator_read_at() const noexcept { return operator_rows_.read_at(); }
    /// @return gateways that ever registered, this process included: those who share bounds
    std::size_t known_gateways() const;
    /// @return whether this process reads the store for its zone: of the gateways there whose reads
    /// succeed the one with the least name. The others hear from it.
    bool is_zone_reader() const;
    /// Sends rows to the processes of the own zone that leave reading to this one.
    /// @param role of those processes
    void share_rows(process_role role, const std::string& table,
                    const std::vector<versioned_row>& rows, std::uint64_t version);
    /// Takes gateways that another process named.
    void take_gateways(const wire::neighbours_reply& reply);
    /// @return this process
    const member& self() const noexcept { return self_; }

private:
    mesh_observer make_mesh_observer();
    void take_operator_rows(const std::vector<versioned_row>& changed);
    void take_member_rows(const std::vector<versioned_row>& changed);
    void learn(const member& process);
    void choose_members_interval();
    void register_self();
    void update_targets();
    void catch_up(const connected_member& from);

    const settings& options_;
    io_threads& control_;
    node_observer observer_;
    store_client store_;
    member self_;
    std::shared_ptr<member_mesh> mesh_;
    table_follower operator_rows_;
    table_follower member_rows_;
    std::map<std::string, table_follower*> shared_tables_;
    std::map<std::string, member> registered_; ///< by instance
    std::uint64_t operator_version_{0};
    time_point started_at_;
    time_point asked_at_; ///< when rows were last asked of another process
};

} // namespace citronseam

#endif
