#include "programs/node/cluster_node.h"

#include <algorithm>
#include <set>
#include <utility>

#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"
#include "citronseam/process/store_reads.h"
#include "platform/sidecar_rows.h"

namespace citronseam {
namespace {

/// Table of the processes of the system, one row each.
constexpr const char* members_table = "citronseam_members";

/// Readers of the operator's table in a zone: two, so that one may fail unnoticed. Large rows take
/// the links between regions once for each.
constexpr std::size_t operator_readers = 2;
/// A reader counts as silent this long after the longest wait of its calls.
constexpr milliseconds operator_response_time{1000};
/// A read of large rows over a crowded link takes seconds, during which few others may add theirs.
constexpr milliseconds operator_takeover_step{1000};
/// A reader of the server list counts as silent after this many of its reads, and one heartbeat.
constexpr int server_reads_until_silent = 2;
constexpr milliseconds reader_heartbeat{500};
constexpr milliseconds members_check_interval{500};
/// For this long after its start a process connects to all gateways, so that they learn of it.
constexpr milliseconds introduction_period{6000};
constexpr milliseconds registration_retry_delay{400};
/// Rows are requested from another process when they have not arrived within this time in the usual
/// way: through the own feed, or from the gateway that a sidecar prefers.
constexpr milliseconds operator_rows_grace{250};
/// The same for rows that only processes of other zones announce. Links between regions are slow:
/// the zone's reader fetches the rows over them, and the others get them from it. These parts of
/// the time within which a configuration is due leave time for the transfer.
constexpr int remote_rows_grace_part = 4;
constexpr int remote_rows_backup_grace_part = 2;
/// A sidecar that starts requests rows from a gateway, and reads the store itself only when none
/// has arrived after this time.
constexpr milliseconds first_rows_grace{2000};
/// Longer than a large reply takes on a slow link.
constexpr milliseconds rows_reply_timeout{5000};
/// The same while no part of a reply has arrived.
constexpr milliseconds silent_reply_timeout{2000};
/// Two, so that a slow receiver does not hold up all others. More would end later, all together.
constexpr transfer_limits answer_limits{16 * kibibyte, 2, milliseconds(2000)};
/// A busy process is asked again after this time, a part of what a large answer takes.
constexpr milliseconds busy_retry_delay{100};

/// @return the version of a table that a process announced
std::uint64_t announced_version(const connected_member& process, const std::string& table) {
    return table == platform::servers_table ? process.servers_version : process.operator_version;
}

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

cluster_node::cluster_node(const settings& options, io_thread_pool& control, http_client& http,
                           metrics& metric_registry, cluster_observer observer)
    : options_(options), control_(control), metrics_(metric_registry),
      observer_(std::move(observer)),
      store_(control, http, metric_registry, options.node.store_address), self_(make_self(options)),
      mesh_(std::make_shared<member_mesh>(control, self_, mesh_timing{}, make_mesh_observer())),
      operator_rows_(control, store_, std::string(platform::operator_table), follow_mode::feed,
                     operator_feed_wait(options.node.configuration_due)),
      member_rows_(control, store_, members_table, follow_mode::poll, members_read_interval({})) {}

void cluster_node::start(const std::vector<table_follower*>& tables) {
    started_at_ = std::chrono::steady_clock::now();
    store_.set_era_handler(observer_.on_store_restored);
    control_.post_after(introduction_period, [this] { update_targets(); });
    shared_tables_[operator_rows_.table()] = &operator_rows_;
    for (table_follower* table : tables) {
        shared_tables_[table->table()] = table;
    }
    if (self_.role == process_role::gateway) {
        mesh_->listen(*parse_host_port(options_.peer_address));
    }
    update_targets();
    register_self();
    operator_rows_.set_needed_check([this] {
        update_outdated(announced_operator_version_);
        const bool is_needed = self_.role == process_role::gateway
                                   ? is_operator_reader() || is_announcer_lost()
                                   : mesh_->members().empty();
        if (is_needed != is_reading_operator_rows_) {
            log_event(log_level::info,
                      is_needed ? "operator_reader_started" : "operator_reader_stopped",
                      {{"zone", self_.zone}});
        }
        is_reading_operator_rows_ = is_needed;
        return is_needed;
    });
    operator_rows_.start([this](const table_change& change) { apply_operator_rows(change); },
                         self_.role == process_role::gateway ? milliseconds(0) : first_rows_grace);
}

void cluster_node::stop() {
    mesh_->stop();
}

mesh_observer cluster_node::make_mesh_observer() {
    mesh_observer observer;
    observer.on_members_changed = [this] {
        forget_lost_requests();
        for (const connected_member* connected : mesh_->members()) {
            add_member(connected->process);
        }
        update_targets();
        update_outdated(newest_announced_version());
        observer_.on_members_changed();
    };
    observer.on_heartbeat = [this](const connected_member& from,
                                   const wire::member_beat& heartbeat) {
        learn_store_era(heartbeat);
        if (from.process.role == process_role::gateway) {
            update_outdated(std::max(announced_operator_version_, from.operator_version));
            update_server_list_lag(from.servers_version);
        }
        handle_offer(from, std::string(platform::operator_table), from.operator_version);
        observer_.on_heartbeat(from, heartbeat);
    };
    observer.on_rows_request = [this](const connected_member& from, const std::string& table,
                                      std::uint64_t after) {
        return make_answer(from, table, after);
    };
    observer.on_neighbours_reply = observer_.on_neighbours_reply;
    observer.on_loss_report = observer_.on_loss_report;
    observer.on_survival_report = observer_.on_survival_report;
    observer.on_limit_report = observer_.on_limit_report;
    observer.on_first_event_report = observer_.on_first_event_report;
    observer.make_greeting = observer_.make_greeting;
    observer.on_rows = [this](const connected_member& from, const std::string& table,
                              const rows_answer& answer) {
        apply_rows_from_member(from, table, answer);
    };
    return observer;
}

void cluster_node::apply_rows_from_member(const connected_member& from, const std::string& table,
                                          const rows_answer& answer) {
    const row_batch& batch = answer.rows;
    const auto found = shared_tables_.find(table);
    if (found == shared_tables_.end()) {
        return;
    }
    if (answer.is_reduced && self_.role != process_role::sidecar) {
        log_event(log_level::error, "rows_refused",
                  {{"table", table},
                   {"member", from.process.instance},
                   {"reason", "they hold only what a sidecar reads"}});
        return;
    }
    if (answer.is_busy) {
        // Small rows, such as announced weights and evacuations, do not wait for large ones.
        if (found->second->settling_time(newest_version(batch)).count() == 0) {
            found->second->apply_from_member(batch);
        }
        handle_busy(from, table);
        return;
    }
    const std::size_t bytes = value_bytes(batch);
    pending_request& request = rows_requests_[table];
    std::uint32_t waited_ms = 0;
    if (request.session == from.session->number()) {
        waited_ms = elapsed_ms(request.sent_at, std::chrono::steady_clock::now());
        request = {};
    }
    const std::size_t changed = found->second->apply_from_member(batch);
    // Bytes of rows that were known already took bandwidth from live requests for nothing.
    metrics_.count("citronseam_member_rows_bytes_total",
                   {{"table", table}, {"use", changed > 0 ? "new" : "known"}},
                   static_cast<double>(bytes));
    log_event(log_level::info, "rows_from_member",
              {{"table", table},
               {"member", from.process.instance},
               {"rows", batch.rows.size()},
               {"changed", changed},
               {"bytes", bytes},
               {"version", counter_of(batch.version)},
               {"waited_ms", waited_ms}});
}

/// @return the rows of a table that are newer than a version, for a process that requested them
rows_answer cluster_node::make_answer(const connected_member& from, const std::string& table,
                                      std::uint64_t after) {
    rows_answer answer;
    const auto found = shared_tables_.find(table);
    // The rows of a sidecar may be reduced.
    if (found == shared_tables_.end() || self_.role == process_role::sidecar) {
        return answer;
    }
    row_batch& batch = answer.rows;
    batch = changes_since(found->second->rows(), after);
    if (from.process.role == process_role::sidecar && table == platform::operator_table) {
        answer.is_reduced = true;
        reduce_for_sidecars(batch);
    }
    const std::size_t bytes = value_bytes(batch);
    const std::size_t under_way = transfers_under_way();
    if (!may_send_rows(bytes, under_way, answer_limits)) {
        keep_small_rows(batch, answer_limits.large_bytes);
        answer.is_busy = true;
        return answer;
    }
    if (bytes > answer_limits.large_bytes) {
        transfers_.push_back({from.session->number(),
                              table,
                              {newest_version(batch), announced_version(from, table), true,
                               std::chrono::steady_clock::now()}});
    }
    log_event(log_level::info, "rows_sent",
              {{"table", table},
               {"member", from.process.instance},
               {"rows", batch.rows.size()},
               {"bytes", bytes},
               {"version", counter_of(batch.version)},
               {"under_way", under_way}});
    return answer;
}

/// @return number of large answers that still take the link
std::size_t cluster_node::transfers_under_way() {
    const auto now = std::chrono::steady_clock::now();
    std::map<std::uint64_t, const connected_member*> members;
    for (const connected_member* connected : mesh_->members()) {
        members[connected->session->number()] = connected;
    }
    const auto is_over = [&](sent_rows& sent) {
        const auto receiver = members.find(sent.session);
        if (receiver == members.end()) {
            return true;
        }
        sent.transfer.known_version = announced_version(*receiver->second, sent.table);
        sent.transfer.is_queued = receiver->second->session->queued_bytes() > 0;
        return !is_under_way(sent.transfer, answer_limits, now);
    };
    transfers_.erase(std::remove_if(transfers_.begin(), transfers_.end(), is_over),
                     transfers_.end());
    return transfers_.size();
}

/// Replaces each row by what sidecars read of it, which is computed once for each version.
void cluster_node::reduce_for_sidecars(row_batch& batch) {
    for (versioned_row& row : batch.rows) {
        versioned_row& reduced = reduced_rows_[row.key];
        if (reduced.version != row.version) {
            reduced = platform::reduce_for_sidecars(row);
        }
        row = reduced;
    }
}

void cluster_node::apply_operator_rows(const table_change& change) {
    update_outdated(announced_operator_version_);
    register_in_new_era();
    if (change.rows.empty() && change.previous_version > 0) {
        return;
    }
    for (const auto& row : change.rows) {
        log_event(log_level::info, "operator_row",
                  {{"row", row.key},
                   {"version", counter_of(row.version)},
                   {"era", era_of(row.version)},
                   {"removed", row.is_removed ? 1 : 0},
                   {"bytes", row.value.size()}});
    }
    observer_.on_operator_rows(change.rows);
    if (self_.role == process_role::gateway) {
        // Sidecars and the gateways that do not read for the zone request the rows: each from one
        // gateway, so that they take its link once.
        mesh_->send_heartbeat_to_zone();
        if (change.is_own_read) {
            // Zones whose readers do not reach the store need the news in time.
            mesh_->send_heartbeat_to_other_zones();
        }
    }
}

/// @return the newest version of the operator's table that a connected gateway announces
std::uint64_t cluster_node::newest_announced_version() const {
    std::uint64_t newest = 0;
    for (const connected_member* connected : mesh_->members()) {
        if (connected->process.role == process_role::gateway) {
            newest = std::max(newest, connected->operator_version);
        }
    }
    return newest;
}

/// @return whether rows are missing that no connected gateway announces any more
bool cluster_node::is_announcer_lost() const {
    return outdated_since() && announced_operator_version_ <= operator_rows_.rows().version;
}

void cluster_node::add_store_era(wire::member_beatT& heartbeat) const {
    const store_era& era = store_.era();
    if (era.number > 0) {
        heartbeat.store_era = era.number;
        heartbeat.store_era_age_ms = elapsed_ms(era.known_since, std::chrono::steady_clock::now());
    }
}

/// The time that the message took counts as time in which the sender did not know of the era.
void cluster_node::learn_store_era(const wire::member_beat& heartbeat) {
    const milliseconds age(heartbeat.store_era_age_ms());
    store_.learn_era(heartbeat.store_era(), std::chrono::steady_clock::now() - age);
}

/// Records what the copy of the operator's table lacks. Rows that are held back since the store was
/// restored do not count.
void cluster_node::update_outdated(std::uint64_t announced) {
    announced_operator_version_ = announced;
    const copy_state own{operator_rows_.rows().version, operator_rows_.last_read_begun_at()};
    const bool is_settling = operator_rows_.settling_time(announced).count() > 0;
    const auto before = outdated_since();
    update_missing_versions(missing_operator_versions_, own, is_settling ? 0 : announced,
                            std::chrono::steady_clock::now());
    if (outdated_since() != before && observer_.on_outdated_changed) {
        observer_.on_outdated_changed();
    }
}

/// Records what the copy of the server list lacks.
/// @param announced version that a gateway announces, 0: none
void cluster_node::update_server_list_lag(std::uint64_t announced) {
    const auto found = shared_tables_.find(platform::servers_table);
    if (found == shared_tables_.end()) {
        return;
    }
    table_follower& servers = *found->second;
    const bool is_settling = servers.settling_time(announced).count() > 0;
    update_missing_versions(missing_server_versions_,
                            {servers.rows().version, servers.last_read_begun_at()},
                            is_settling ? 0 : announced, std::chrono::steady_clock::now());
}

bool cluster_node::is_server_list_outdated() {
    update_server_list_lag(0);
    const auto since = missing_since(missing_server_versions_);
    const milliseconds max_lag = max_server_list_lag(options_.node.server_removal_due);
    if (!since || std::chrono::steady_clock::now() - *since <= max_lag) {
        return false;
    }
    // The store may refuse this process.
    request_rows_from_any(std::string(platform::servers_table));
    return true;
}

/// Requests rows that another process announced, if they do not arrive otherwise.
void cluster_node::handle_offer(const connected_member& from, const std::string& table,
                                std::uint64_t version) {
    const auto found = shared_tables_.find(table);
    // A sidecar's link is for its engine.
    if (from.process.role != process_role::gateway || found == shared_tables_.end() ||
        version <= found->second->rows().version) {
        return;
    }
    const std::string& instance = from.process.instance;
    const milliseconds settling = found->second->settling_time(version);
    const bool is_preferred =
        self_.role == process_role::sidecar && instance == preferred_gateway();
    if (is_preferred && settling.count() == 0) {
        request_rows(instance, table, version);
        return;
    }
    const milliseconds grace = is_preferred ? milliseconds(0) : rows_grace(from);
    control_.post_after(settling + grace, [this, instance, table, version] {
        if (self_.role == process_role::gateway) {
            request_rows_from_any(table);
        } else {
            request_rows(instance, table, version);
        }
    });
}

/// @return how long rows that a process announced may take to arrive otherwise
milliseconds cluster_node::rows_grace(const connected_member& from) const {
    const bool is_gateway = self_.role == process_role::gateway;
    if (from.process.zone == self_.zone) {
        return is_gateway && !is_operator_reader() ? milliseconds(0) : operator_rows_grace;
    }
    if (preferred_gateway().empty()) {
        return operator_rows_grace;
    }
    const bool is_reader = is_gateway && is_operator_reader();
    return options_.node.configuration_due /
           (is_reader ? remote_rows_grace_part : remote_rows_backup_grace_part);
}

/// @return whether rows up to a version are missing
bool cluster_node::are_rows_missing(const std::string& table, std::uint64_t version) {
    table_follower& follower = *shared_tables_.at(table);
    return version > follower.rows().version && follower.settling_time(version).count() == 0;
}

bool cluster_node::is_rows_request_outstanding(const std::string& table) {
    const pending_request& request = rows_requests_[table];
    if (request.session == 0) {
        return false;
    }
    milliseconds timeout = silent_reply_timeout;
    for (const connected_member* connected : mesh_->members()) {
        const peer_session& session = *connected->session;
        if (session.number() == request.session && session.is_receiving_frame()) {
            timeout = rows_reply_timeout;
        }
    }
    return is_outstanding(request, timeout, std::chrono::steady_clock::now());
}

/// Requests the rows that this process lacks from one of the gateways that announced them.
void cluster_node::request_rows_from_any(const std::string& table) {
    if (is_rows_request_outstanding(table)) {
        return;
    }
    std::vector<row_source> sources;
    std::map<std::string_view, std::uint64_t> versions;
    for (const connected_member* connected : mesh_->members()) {
        const std::uint64_t version = announced_version(*connected, table);
        if (connected->process.role != process_role::gateway || !are_rows_missing(table, version)) {
            continue;
        }
        const auto busy_at = busy_at_.find(connected->session->number());
        sources.push_back({connected->process.instance, connected->process.zone == self_.zone,
                           busy_at == busy_at_.end() ? time_point{} : busy_at->second});
        versions[connected->process.instance] = version;
    }
    if (sources.empty()) {
        return;
    }
    const row_source* source =
        choose_row_source(sources, busy_retry_delay, std::chrono::steady_clock::now(), random_);
    if (source != nullptr) {
        request_rows(std::string(source->instance), table, versions.at(source->instance));
        return;
    }
    if (!tables_to_retry_.insert(table).second) {
        return;
    }
    control_.post_after(busy_retry_delay, [this, table] {
        tables_to_retry_.erase(table);
        request_rows_from_any(table);
    });
}

void cluster_node::handle_busy(const connected_member& from, const std::string& table) {
    metrics_.count("citronseam_member_rows_busy_total", {{"table", table}});
    busy_at_[from.session->number()] = std::chrono::steady_clock::now();
    pending_request& request = rows_requests_[table];
    if (request.session == from.session->number()) {
        request = {};
        request_rows_from_any(table);
    }
}

void cluster_node::request_rows(const std::string& instance, const std::string& table,
                                std::uint64_t version) {
    if (!are_rows_missing(table, version) || is_rows_request_outstanding(table)) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const std::uint64_t known_version = shared_tables_.at(table)->rows().version;
    for (const connected_member* connected : mesh_->members()) {
        if (connected->process.instance == instance) {
            log_event(log_level::info, "rows_requested",
                      {{"table", table},
                       {"member", instance},
                       {"after", counter_of(known_version)},
                       {"offered", counter_of(version)}});
            rows_requests_[table] = {connected->session->number(), now};
            mesh_->request_rows(*connected, table, known_version);
        }
    }
}

/// Requests end with their session, so that the rows are requested from another process.
void cluster_node::forget_lost_requests() {
    std::set<std::uint64_t> sessions;
    for (const connected_member* connected : mesh_->members()) {
        sessions.insert(connected->session->number());
    }
    for (auto& [table, request] : rows_requests_) {
        if (sessions.count(request.session) == 0) {
            request = {};
        }
    }
    for (auto busy = busy_at_.begin(); busy != busy_at_.end();) {
        busy = sessions.count(busy->first) == 0 ? busy_at_.erase(busy) : std::next(busy);
    }
}

/// Spreads the sidecars of a zone over its gateways.
std::string cluster_node::preferred_gateway() const {
    std::string preferred;
    std::uint64_t best_weight = 0;
    for (const connected_member* connected : mesh_->members()) {
        const member& process = connected->process;
        if (process.role != process_role::gateway || process.zone != self_.zone) {
            continue;
        }
        const std::uint64_t weight = rendezvous_weight(self_.instance, process.instance);
        if (preferred.empty() || weight > best_weight) {
            preferred = process.instance;
            best_weight = weight;
        }
    }
    return preferred;
}

std::uint64_t cluster_node::operator_version() const noexcept {
    return newest_row_version(operator_rows_.rows());
}

void cluster_node::apply_member_rows(const table_change& change) {
    if (change.rows.empty() && change.previous_version > 0) {
        return;
    }
    for (const auto& row : change.rows) {
        if (row.is_removed) {
            known_members_.erase(row.key);
            continue;
        }
        auto process = parse_member(row.value);
        if (!process) {
            log_event(log_level::warning, "member_row_unreadable",
                      {{"row", row.key}, {"reason", process.error().message}});
            continue;
        }
        known_members_[row.key] = std::move(*process);
    }
    const auto own = known_members_.find(self_.instance);
    if (own == known_members_.end() || !(own->second == self_)) {
        register_self();
    }
    update_targets();
    observer_.on_members_changed();
}

void cluster_node::register_self() {
    if (is_registering_) {
        must_register_again_ = true;
        return;
    }
    is_registering_ = true;
    store_.write_row(
        members_table, self_.instance, to_json(self_), [this](platform::store_outcome outcome) {
            is_registering_ = false;
            if (outcome != platform::store_outcome::done) {
                control_.post_after(registration_retry_delay, [this] { register_self(); });
                return;
            }
            log_event(log_level::info, "registered", {{"incarnation", self_.incarnation}});
            follow_members();
            if (std::exchange(must_register_again_, false)) {
                register_self();
            }
        });
}

/// Of two processes the one that registers later finds the other one in the table, so each reads it
/// once after it has registered.
void cluster_node::follow_members() {
    if (std::exchange(is_following_members_, true)) {
        return;
    }
    member_rows_.start([this](const table_change& change) { apply_member_rows(change); });
    update_members_interval();
}

/// A store that was restored from a copy may have lost the row of this process.
void cluster_node::register_in_new_era() {
    const std::uint64_t era = era_of(operator_rows_.rows().version);
    const bool is_new = registered_era_ && era > *registered_era_;
    registered_era_ = std::max(era, registered_era_.value_or(era));
    if (is_new) {
        register_self();
    }
}

/// Chooses targets so that each pair has one connection: of two gateways the one with the lower
/// instance name dials, and sidecars dial gateways. Seed addresses are used until a member is
/// known.
void cluster_node::update_targets() {
    const bool is_introducing =
        std::chrono::steady_clock::now() - started_at_ < introduction_period;
    std::map<std::string, std::string> targets;
    for (const auto& [instance, process] : known_members_) {
        const bool is_target =
            process.role == process_role::gateway && instance != self_.instance &&
            (self_.role == process_role::sidecar || is_introducing || self_.instance < instance);
        if (is_target) {
            targets[instance] = process.peer_address;
        }
    }
    if (known_members_.empty()) {
        for (const auto& address : options_.node.seed_addresses) {
            if (address != self_.peer_address) {
                targets[address] = address;
            }
        }
    }
    mesh_->set_targets(std::move(targets));
}

void cluster_node::add_member(const member& process) {
    const auto known = known_members_.find(process.instance);
    if (known == known_members_.end() || known->second.incarnation < process.incarnation) {
        known_members_[process.instance] = process;
    }
}

const connected_member* cluster_node::next_informant() {
    std::vector<const connected_member*> informants = mesh_->members();
    const bool has_same_zone = !preferred_gateway().empty();
    std::erase_if(informants, [&](const connected_member* connected) {
        return connected->process.role != process_role::gateway ||
               (has_same_zone && connected->process.zone != self_.zone);
    });
    return informants.empty() ? nullptr : informants[++informant_turn_ % informants.size()];
}

void cluster_node::add_gateways(const wire::neighbours_reply& reply) {
    if (reply.gateways() == nullptr) {
        return;
    }
    bool is_changed = false;
    for (const auto* gateway : *reply.gateways()) {
        const std::string instance(view(gateway->instance()));
        if (known_members_.count(instance) > 0) {
            continue;
        }
        member process;
        process.instance = instance;
        process.zone = view(gateway->availability_zone());
        process.peer_address = view(gateway->peer_address());
        known_members_[instance] = std::move(process);
        is_changed = true;
    }
    if (is_changed) {
        update_targets();
    }
}

bool cluster_node::is_server_reader() const {
    const milliseconds interval = servers_read_interval(options_.node.server_removal_due);
    return is_reader(&connected_member::servers_read_at,
                     {1, server_reads_until_silent * interval + reader_heartbeat});
}

bool cluster_node::is_operator_reader() const {
    const milliseconds wait = operator_feed_wait(options_.node.configuration_due);
    return is_reader(&connected_member::operator_read_at,
                     {operator_readers, wait + operator_response_time, operator_takeover_step});
}

bool cluster_node::is_reader(time_point connected_member::*read_at,
                             const reader_policy& policy) const {
    std::vector<reader_candidate> others;
    for (const connected_member* connected : mesh_->members()) {
        const member& other = connected->process;
        // A gateway that is not ready may read: one whose configuration is outdated does.
        if (other.role == process_role::gateway && other.zone == self_.zone) {
            others.push_back({other.instance, connected->*read_at});
        }
    }
    return is_zone_reader(self_.instance, others, policy, std::chrono::steady_clock::now());
}

void cluster_node::send_rows_to_zone(process_role role, const std::string& table,
                                     const row_batch& batch) {
    for (const connected_member* connected : mesh_->members()) {
        if (connected->process.role == role && connected->process.zone == self_.zone) {
            mesh_->send_rows(*connected, table, batch);
        }
    }
}

void cluster_node::update_members_interval() {
    const std::vector<const connected_member*> connected = mesh_->members();
    const auto known_gateways = static_cast<std::size_t>(
        std::count_if(known_members_.begin(), known_members_.end(), [](const auto& entry) {
            return entry.second.role == process_role::gateway;
        }));
    member_knowledge knowledge;
    knowledge.known = known_members_.size();
    knowledge.is_connected = !connected.empty();
    knowledge.is_incomplete =
        std::any_of(connected.begin(), connected.end(), [&](const connected_member* other) {
            return other->gateway_count > known_gateways;
        });
    member_rows_.set_interval(members_read_interval(knowledge));
    control_.post_after(members_check_interval, [this] { update_members_interval(); });
}

sender_list cluster_node::gateways() const {
    sender_list listed;
    for (const connected_member* connected : mesh_->members()) {
        listed.count = std::max(listed.count, connected->gateway_count);
    }
    if (listed.count == 0 && !member_rows_.rows().is_complete) {
        return listed;
    }
    if (self_.role == process_role::gateway) {
        listed.senders.push_back({self_.instance, self_.zone});
    }
    for (const auto& [instance, process] : known_members_) {
        if (instance != self_.instance && process.role == process_role::gateway) {
            listed.senders.push_back({instance, process.zone});
        }
    }
    listed.count = std::max(listed.count, listed.senders.size());
    return listed;
}

} // namespace citronseam
