#include "programs/node/node_links.h"

#include <algorithm>

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

/// Table of the processes of the system, one row each.
constexpr const char* members_table = "citronseam_members";

/// A feed that heard nothing for this long is begun anew, so that a connection that lost its way is
/// found out. Until then the other processes' messages tell of newer rows.
constexpr milliseconds feed_wait{8000};
constexpr milliseconds pause_before_registering_again{400};
/// Rows are asked of another process when the own feed has not brought them within this time.
constexpr milliseconds feed_patience{250};
constexpr milliseconds pause_between_questions{500};

member make_self(const settings& options) {
    member self;
    self.instance = options.instance;
    self.role = options.role;
    self.zone = options.availability_zone;
    self.region = options.node.region;
    self.peer_address = options.peer_address;
    self.http_address = options.http_address;
    self.service = options.backend_server.service;
    self.incarnation = wall_clock_ms();
    return self;
}

} // namespace

node_links::node_links(const settings& options, io_threads& control, http_client& http,
                       metrics& numbers, session_timing timing, node_observer observer)
    : options_(options), control_(control), observer_(std::move(observer)),
      store_(control, http, numbers, options.node.store_address), self_(make_self(options)),
      mesh_(std::make_shared<member_mesh>(control, self_, timing, make_mesh_observer())),
      operator_rows_(control, store_, std::string(platform::operator_table), follow_mode::feed,
                     feed_wait),
      member_rows_(control, store_, members_table, follow_mode::feed, feed_wait) {}

void node_links::start(std::vector<table_follower*> tables) {
    shared_tables_[operator_rows_.table()] = &operator_rows_;
    for (table_follower* table : tables) {
        shared_tables_[table->table()] = table;
    }
    if (self_.role == process_role::gateway) {
        mesh_->listen(*parse_host_port(options_.peer_address));
    }
    update_targets();
    register_self();
    operator_rows_.start(
        [this](const std::vector<versioned_row>& changed) { take_operator_rows(changed); });
    member_rows_.start(
        [this](const std::vector<versioned_row>& changed) { take_member_rows(changed); });
}

void node_links::stop() {
    mesh_->stop();
}

mesh_observer node_links::make_mesh_observer() {
    mesh_observer observer;
    observer.on_members = [this] {
        update_targets();
        observer_.on_members();
    };
    observer.on_beat = [this](const connected_member& from, const wire::member_beat& beat) {
        catch_up(from);
        observer_.on_beat(from, beat);
    };
    observer.on_rows_wanted = [this](const std::string& table, std::uint64_t after) {
        row_batch batch;
        const auto found = shared_tables_.find(table);
        if (found != shared_tables_.end()) {
            batch.rows = rows_after(found->second->rows(), after);
            batch.version = found->second->rows().version;
        }
        return batch;
    };
    observer.on_neighbours = observer_.on_neighbours;
    observer.on_rows = [this](const std::string& table, const row_batch& rows) {
        const auto found = shared_tables_.find(table);
        if (found != shared_tables_.end()) {
            log_event(log_level::info, "rows_from_member",
                      {{"table", table}, {"rows", rows.rows.size()}, {"version", rows.version}});
            found->second->take(rows);
        }
    };
    return observer;
}

void node_links::take_operator_rows(const std::vector<versioned_row>& changed) {
    for (const auto& row : changed) {
        operator_version_ = std::max(operator_version_, row.version);
        log_event(log_level::info, "operator_row",
                  {{"row", row.key},
                   {"version", row.version},
                   {"removed", row.is_removed ? 1 : 0},
                   {"bytes", row.value.size()}});
    }
    observer_.on_operator_rows(changed);
}

/// Asks a process that knows more, once the own feed had time to bring it.
void node_links::catch_up(const connected_member& from) {
    const time_point now = std::chrono::steady_clock::now();
    if (from.operator_version <= operator_version_ || now - asked_at_ < pause_between_questions) {
        return;
    }
    asked_at_ = now;
    control_.post_after(
        feed_patience, [this, instance = from.process.instance, version = from.operator_version] {
            if (version <= operator_version_) {
                return;
            }
            for (const connected_member* connected : mesh_->members()) {
                if (connected->process.instance == instance) {
                    mesh_->ask_rows(*connected, operator_rows_.table(), operator_version_);
                }
            }
        });
}

void node_links::take_member_rows(const std::vector<versioned_row>& changed) {
    for (const auto& row : changed) {
        if (row.is_removed) {
            registered_.erase(row.key);
            continue;
        }
        auto process = parse_member(row.value);
        if (!process) {
            log_event(log_level::warning, "member_row_unreadable",
                      {{"row", row.key}, {"reason", process.error().message}});
            continue;
        }
        registered_[row.key] = std::move(*process);
    }
    const auto own = registered_.find(self_.instance);
    if (own == registered_.end() || !(own->second == self_)) {
        register_self();
    }
    update_targets();
    observer_.on_members();
}

void node_links::register_self() {
    store_.write_row(
        members_table, self_.instance, to_json(self_), [this](platform::store_outcome outcome) {
            if (outcome != platform::store_outcome::done) {
                control_.post_after(pause_before_registering_again, [this] { register_self(); });
                return;
            }
            log_event(log_level::info, "registered", {{"incarnation", self_.incarnation}});
        });
}

/// One connection for each pair: of two gateways the one with the lesser name dials, and sidecars
/// dial gateways. Seeds stand in until the table of members was read.
void node_links::update_targets() {
    std::map<std::string, std::string> targets;
    for (const auto& [instance, process] : registered_) {
        const bool is_dialled = process.role == process_role::gateway &&
                                instance != self_.instance &&
                                (self_.role == process_role::sidecar || self_.instance < instance);
        if (is_dialled) {
            targets[instance] = process.peer_address;
        }
    }
    if (registered_.empty()) {
        for (const auto& address : options_.node.seed_addresses) {
            if (address != self_.peer_address) {
                targets[address] = address;
            }
        }
    }
    mesh_->set_targets(std::move(targets));
}

std::size_t node_links::known_gateways() const {
    std::size_t count = self_.role == process_role::gateway ? 1 : 0;
    for (const auto& [instance, process] : registered_) {
        const bool is_other = instance != self_.instance;
        count += is_other && process.role == process_role::gateway ? 1 : 0;
    }
    return count;
}

} // namespace citronseam
