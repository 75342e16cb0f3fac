#include "programs/node/member_mesh.h"

#include <algorithm>

#include "citronseam/connection/frame.h"
#include "citronseam/process/log.h"
#include "citronseam/process/message_rates.h"
#include "citronseam/process/random.h"

namespace citronseam {
namespace {

/// A heartbeat replaces the next periodic one if it was sent within this part of the interval.
constexpr double recent_heartbeat_share = 0.9;

wire::role to_wire(process_role role) {
    return role == process_role::sidecar ? wire::role::sidecar : wire::role::gateway;
}

member decode_member(const wire::hello& hello) {
    member process;
    process.instance = view(hello.instance());
    process.role =
        hello.role() == wire::role::sidecar ? process_role::sidecar : process_role::gateway;
    process.zone = view(hello.availability_zone());
    process.region = view(hello.region());
    process.peer_address = view(hello.peer_address());
    process.http_address = view(hello.http_address());
    process.service = view(hello.service());
    process.incarnation = hello.incarnation();
    return process;
}

shared_frame make_rows_frame(const std::string& table, const rows_answer& answer) {
    const row_batch& batch = answer.rows;
    wire::rows_replyT reply;
    reply.is_reduced = answer.is_reduced;
    reply.is_busy = answer.is_busy;
    reply.table = table;
    reply.version = batch.version;
    reply.is_whole = batch.is_whole;
    reply.after = batch.after;
    for (const auto& row : batch.rows) {
        auto written = std::make_unique<wire::table_rowT>();
        written->key = row.key;
        written->value.assign(row.value.begin(), row.value.end());
        written->version = row.version;
        written->is_removed = row.is_removed;
        reply.rows.push_back(std::move(written));
    }
    return make_frame(std::move(reply));
}

std::unique_ptr<wire::neighbourT> to_neighbour(const member& process, bool is_ready) {
    auto neighbour = std::make_unique<wire::neighbourT>();
    neighbour->instance = process.instance;
    neighbour->peer_address = process.peer_address;
    neighbour->availability_zone = process.zone;
    neighbour->is_ready = is_ready;
    return neighbour;
}

/// @return a fingerprint of the lists of a reply, the sender included
std::uint64_t fingerprint_of(const wire::neighbours_replyT& reply, const member& sender) {
    std::string text;
    for (const auto& sidecar : reply.neighbours) {
        text += sidecar->instance + (sidecar->is_ready ? "+" : "-") + sidecar->peer_address + " ";
    }
    // Every gateway lists all but itself, so their order is restored here.
    std::set<std::string_view> gateways{sender.instance};
    for (const auto& gateway : reply.gateways) {
        gateways.insert(gateway->instance);
    }
    for (const std::string_view instance : gateways) {
        text.append(instance).append(" ");
    }
    return hash_text(text);
}

} // namespace

member_mesh::member_mesh(io_thread_pool& control, member self, mesh_timing timing,
                         mesh_observer observer)
    : control_(control), self_(std::move(self)), timing_(timing), observer_(std::move(observer)),
      heartbeat_(make_frame(wire::member_beatT{})), zone_heartbeat_(heartbeat_) {}

shared_frame member_mesh::make_hello() const {
    wire::helloT hello;
    hello.protocol = wire_protocol_version;
    hello.role = to_wire(self_.role);
    hello.instance = self_.instance;
    hello.incarnation = self_.incarnation;
    hello.availability_zone = self_.zone;
    hello.region = self_.region;
    hello.service = self_.service;
    hello.peer_address = self_.peer_address;
    hello.http_address = self_.http_address;
    return make_frame(std::move(hello));
}

session_observer member_mesh::make_observer() {
    session_observer observer;
    const std::weak_ptr<member_mesh> weak = weak_from_this();
    observer.on_hello = [weak](const session_pointer& session, const wire::hello& hello) {
        if (const auto self = weak.lock()) {
            self->handle_hello(session, hello);
        }
    };
    observer.on_message = [weak](const session_pointer& session, const wire::envelope& message) {
        if (const auto self = weak.lock()) {
            self->handle_message(session, message);
        }
    };
    observer.on_closed = [weak](const session_pointer& session, close_reason reason) {
        if (const auto self = weak.lock()) {
            self->handle_closed(session, reason);
        }
    };
    observer.make_heartbeat = [weak](const session_pointer& session) {
        const auto self = weak.lock();
        return self == nullptr ? shared_frame{} : self->take_due_heartbeat(session);
    };
    return observer;
}

milliseconds member_mesh::heartbeat_interval_for(const member& process) const {
    return process.zone == self_.zone ? timing_.same_zone.heartbeat_interval
                                      : remote_heartbeat_interval(sessions_.size());
}

std::size_t member_mesh::remote_gateway_count() const {
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [this](const auto& entry) {
            const member& process = entry.second.process;
            return process.role == process_role::gateway && process.region != self_.region;
        }));
}

/// @return the heartbeat for a session, nullptr if one was sent shortly before
shared_frame member_mesh::take_due_heartbeat(const session_pointer& session) {
    const auto found = sessions_.find(session->number());
    if (found == sessions_.end()) {
        return nullptr;
    }
    connected_member& to = found->second;
    const auto now = std::chrono::steady_clock::now();
    if (now - to.beat_sent_at < recent_heartbeat_share * heartbeat_interval_for(to.process)) {
        return nullptr;
    }
    to.beat_sent_at = now;
    return to.process.zone == self_.zone ? zone_heartbeat_ : heartbeat_;
}

void member_mesh::listen(const host_port& address) {
    listener_ = std::make_shared<peer_listener>(
        control_.context(), address, [weak = weak_from_this()](asio::ip::tcp::socket socket) {
            if (const auto self = weak.lock()) {
                std::make_shared<peer_session>(std::move(socket), self->make_hello(),
                                               self->timing_.same_zone, self->make_observer())
                    ->start();
            }
        });
    listener_->start();
}

void member_mesh::set_targets(std::map<std::string, std::string> targets) {
    if (dialer_ == nullptr) {
        dialer_ = std::make_shared<dialer>(
            control_.context(),
            [weak = weak_from_this()] {
                const auto self = weak.lock();
                return self == nullptr ? make_frame(wire::helloT{}) : self->make_hello();
            },
            timing_.same_zone, make_observer());
    }
    dialer_->set_targets(std::move(targets));
}

void member_mesh::set_heartbeat(const wire::member_beatT& heartbeat) {
    zone_heartbeat_ = make_frame(wire::member_beatT(heartbeat));
    heartbeat_ = zone_heartbeat_;
    if (!heartbeat.demand.empty()) {
        // Bandwidth between regions is scarce, and only the own zone chooses among the same
        // servers.
        wire::member_beatT reduced(heartbeat);
        reduced.demand.clear();
        heartbeat_ = make_frame(std::move(reduced));
    }
}

void member_mesh::broadcast(wire::member_beatT heartbeat, bool is_same_region_only) {
    const shared_frame frame = make_frame(std::move(heartbeat));
    const auto now = std::chrono::steady_clock::now();
    for (auto& [number, connected] : sessions_) {
        if (!is_same_region_only || connected.process.region == self_.region) {
            connected.beat_sent_at = now;
            connected.session->send(frame);
        }
    }
}

bool member_mesh::send_to(std::string_view instance, const shared_frame& frame) {
    const connected_member* newest = nullptr;
    for (const auto& [number, connected] : sessions_) {
        const bool is_newer =
            newest == nullptr || connected.process.incarnation >= newest->process.incarnation;
        if (connected.process.instance == instance && is_newer) {
            newest = &connected;
        }
    }
    if (newest != nullptr) {
        newest->session->send(frame);
    }
    return newest != nullptr;
}

void member_mesh::send_to_gateways(const shared_frame& frame) {
    for (const auto& [number, connected] : sessions_) {
        if (connected.process.role == process_role::gateway) {
            connected.session->send(frame);
        }
    }
}

void member_mesh::send_heartbeat_to_zone() {
    for (const auto& [number, connected] : sessions_) {
        if (connected.process.zone == self_.zone) {
            connected.session->send(zone_heartbeat_);
        }
    }
}

void member_mesh::send_heartbeat_to_other_zones() {
    const auto now = std::chrono::steady_clock::now();
    for (auto& [number, connected] : sessions_) {
        if (connected.process.role == process_role::gateway &&
            connected.process.zone != self_.zone) {
            connected.beat_sent_at = now;
            connected.session->send(heartbeat_);
        }
    }
}

void member_mesh::request_neighbours(const connected_member& from, const std::string& service,
                                     std::uint64_t known) {
    wire::neighbours_requestT request;
    request.known = known;
    request.service = service;
    request.availability_zone = self_.zone;
    from.session->send(make_frame(std::move(request)));
}

void member_mesh::request_rows(const connected_member& from, const std::string& table,
                               std::uint64_t after) {
    wire::rows_requestT request;
    request.table = table;
    request.after = after;
    from.session->send(make_frame(std::move(request)));
}

void member_mesh::stop() {
    if (dialer_ != nullptr) {
        dialer_->stop();
    }
    if (listener_ != nullptr) {
        listener_->close();
    }
    for (const auto& [number, connected] : sessions_) {
        connected.session->close(close_reason::closed_locally);
    }
}

std::vector<const connected_member*> member_mesh::members() const {
    std::map<std::string_view, const connected_member*> newest;
    for (const auto& [number, connected] : sessions_) {
        const connected_member*& known = newest[connected.process.instance];
        if (known == nullptr || connected.process.incarnation >= known->process.incarnation) {
            known = &connected;
        }
    }
    std::vector<const connected_member*> listed;
    listed.reserve(newest.size());
    for (const auto& [instance, connected] : newest) {
        listed.push_back(connected);
    }
    return listed;
}

void member_mesh::handle_hello(const session_pointer& session, const wire::hello& hello) {
    const bool is_known_role =
        hello.role() == wire::role::gateway || hello.role() == wire::role::sidecar;
    if (!is_known_role || view(hello.instance()) == self_.instance) {
        session->close(close_reason::wrong_protocol);
        return;
    }
    connected_member connected;
    connected.process = decode_member(hello);
    connected.session = session;
    log_event(log_level::info, "member_connected",
              {{"member", connected.process.instance},
               {"zone", connected.process.zone},
               {"incarnation", connected.process.incarnation}});
    // The timing of the own zone holds until the peer has said where it is.
    if (connected.process.zone != self_.zone) {
        session->set_silence_timeout(timing_.other_zones_silence_timeout,
                                     timing_.other_zones_confirmation_timeout);
    }
    if (observer_.make_greeting) {
        for (const auto& frame : observer_.make_greeting(connected.process)) {
            session->send(frame);
        }
    }
    sessions_[session->number()] = std::move(connected);
    observer_.on_members_changed();
}

void member_mesh::handle_message(const session_pointer& session, const wire::envelope& message) {
    const auto found = sessions_.find(session->number());
    if (found == sessions_.end()) {
        return;
    }
    if (const auto* heartbeat = message.body_as_member_beat()) {
        connected_member& from = found->second;
        const bool is_changed = from.is_ready != heartbeat->is_ready() ||
                                from.gateway_count != heartbeat->gateway_count();
        from.is_ready = heartbeat->is_ready();
        from.gateway_count = heartbeat->gateway_count();
        from.operator_version = heartbeat->operator_version();
        from.servers_version = heartbeat->servers_version();
        const auto now = std::chrono::steady_clock::now();
        if (heartbeat->server_reads() > from.server_reads) {
            from.server_reads = heartbeat->server_reads();
            from.servers_read_at = now;
        }
        if (heartbeat->operator_reads() > from.operator_reads) {
            from.operator_reads = heartbeat->operator_reads();
            from.operator_read_at = now;
        }
        observer_.on_heartbeat(from, *heartbeat);
        if (is_changed) {
            observer_.on_members_changed();
        }
    } else if (const auto* request = message.body_as_rows_request()) {
        send_rows_reply(found->second, *request);
    } else if (const auto* reply = message.body_as_rows_reply()) {
        handle_rows_reply(found->second, *reply);
    } else if (const auto* wanted = message.body_as_neighbours_request()) {
        send_neighbours_reply(session, *wanted);
    } else if (const auto* neighbours = message.body_as_neighbours_reply()) {
        if (observer_.on_neighbours_reply) {
            observer_.on_neighbours_reply(*neighbours);
        }
    } else if (const auto* loss = message.body_as_server_loss_report()) {
        if (observer_.on_loss_report) {
            observer_.on_loss_report(*loss);
        }
    } else if (const auto* survival = message.body_as_survival_report()) {
        if (observer_.on_survival_report) {
            observer_.on_survival_report(*survival);
        }
    } else if (const auto* limit = message.body_as_limit_report()) {
        if (observer_.on_limit_report) {
            observer_.on_limit_report(*limit);
        }
    } else if (const auto* first_event = message.body_as_first_event_report()) {
        if (observer_.on_first_event_report) {
            observer_.on_first_event_report(*first_event);
        }
    }
}

void member_mesh::send_neighbours_reply(const session_pointer& session,
                                        const wire::neighbours_request& request) {
    wire::neighbours_replyT reply;
    for (const connected_member* connected : members()) {
        const member& process = connected->process;
        if (process.role == process_role::gateway) {
            reply.gateways.push_back(to_neighbour(process, connected->is_ready));
            continue;
        }
        if (process.service != view(request.service())) {
            continue;
        }
        reply.neighbours.push_back(to_neighbour(process, connected->is_ready));
    }
    reply.fingerprint = fingerprint_of(reply, self_);
    reply.is_unchanged = request.known() == reply.fingerprint;
    if (reply.is_unchanged) {
        reply.neighbours.clear();
        reply.gateways.clear();
    }
    session->send(make_frame(std::move(reply)));
}

void member_mesh::handle_closed(const session_pointer& session, close_reason reason) {
    const auto found = sessions_.find(session->number());
    if (found == sessions_.end()) {
        return;
    }
    log_event(log_level::warning, "member_lost",
              {{"member", found->second.process.instance}, {"reason", name(reason)}});
    sessions_.erase(found);
    observer_.on_members_changed();
}

void member_mesh::send_rows_reply(const connected_member& to, const wire::rows_request& request) {
    if (!observer_.on_rows_request) {
        return;
    }
    const std::string table(view(request.table()));
    to.session->send(make_rows_frame(table, observer_.on_rows_request(to, table, request.after())));
}

void member_mesh::send_rows(const connected_member& to, const std::string& table,
                            const row_batch& rows) {
    to.session->send(make_rows_frame(table, {rows}));
}

void member_mesh::handle_rows_reply(const connected_member& from, const wire::rows_reply& reply) {
    rows_answer answer;
    answer.is_reduced = reply.is_reduced();
    answer.is_busy = reply.is_busy();
    row_batch& batch = answer.rows;
    batch.version = reply.version();
    batch.is_whole = reply.is_whole();
    batch.after = reply.after();
    if (reply.rows() != nullptr) {
        for (const auto* row : *reply.rows()) {
            batch.rows.push_back({std::string(view(row->key())), std::string(view(row->value())),
                                  row->version(), row->is_removed()});
        }
    }
    if (observer_.on_rows) {
        observer_.on_rows(from, std::string(view(reply.table())), answer);
    }
}

} // namespace citronseam
