#include "programs/agent/agent.h"

#include <map>

#include "citronseam/connection/dialer.h"
#include "citronseam/process/log.h"
#include "citronseam/process/membership.h"
#include "programs/agent/agent_request.h"
#include "programs/agent/agent_status.h"
#include "programs/agent/cache_event_reader.h"
#include "programs/agent/key_sweeper.h"
#include "programs/agent/version_reconciler.h"
#include "programs/daemon/instance_list_poller.h"
#include "programs/daemon/operator_server.h"
#include "programs/daemon/role_runner.h"

namespace citronseam {
namespace {

constexpr milliseconds reconcile_interval{100};
constexpr milliseconds status_interval{500};
/// Time between questions to an entry for the other agents of the service.
constexpr milliseconds neighbours_interval{500};
constexpr milliseconds store_timeout{1500};
constexpr milliseconds drain_poll{20};
/// A leaving agent gives the store this long to take the results it still holds.
constexpr milliseconds longest_result_wait{30000};
/// After the last request ended, answers may still be in the sockets' buffers.
constexpr milliseconds linger{300};

/// Weights are drawn at the pace of a link that all agents share, so one piece may take long.
constexpr milliseconds draw_timeout{30000};

/// @return the request for a chunk as a range of the weights at the origin
http_request draw_by_range(const std::string& store, const manifest& list, std::size_t chunk) {
    const std::uint64_t first = chunk_offset(list, chunk);
    const std::uint64_t last = first + list.chunks[chunk].size - 1;
    http_request request;
    request.url = store + "/weights/" + list.source;
    request.headers = {{"Range", "bytes=" + std::to_string(first) + "-" + std::to_string(last)}};
    request.timeout = draw_timeout;
    return request;
}

/// The agent's parts and the traffic between them.
class agent {
public:
    explicit agent(const settings& options)
        : options_(options), incarnation_(wall_clock_ms()), control_(1),
          traffic_(options.traffic_threads), hub_(control_, numbers_),
          gate_(options.availability_zone, options.backend_server.service, hub_, numbers_),
          store_(platform_, options.platform.table_service, options.platform.object_store,
                 store_timeout),
          context_{options_, incarnation_, control_, traffic_, numbers_, hub_, gate_,
                   backend_, platform_,    store_,   {1},      {0},      {},   {}},
          swarm_(
              std::make_shared<chunk_swarm>(make_swarm_context(), [this] { return make_hello(); })),
          keeper_(std::make_shared<version_keeper>(context_, swarm_)) {}

    int run() {
        return run_role(options_, {[this] { start(); }, [this] { leave(); }, {}});
    }

private:
    using session_pointer = std::shared_ptr<peer_session>;
    using request_map = std::map<std::uint64_t, std::weak_ptr<agent_request>>;

    swarm_context make_swarm_context() {
        swarm_context parts{options_.instance,
                            options_.backend_server.service,
                            options_.peer_address,
                            wire::role::agent,
                            {options_.control.heartbeat_interval, options_.control.silence_timeout},
                            options_.weight_memory,
                            control_,
                            traffic_,
                            numbers_,
                            platform_,
                            {},
                            [this](peer_session& session) { hub_.count_bytes(session); }};
        parts.make_draw = [this](const manifest& list, std::size_t chunk) {
            return draw_by_range(options_.platform.weight_store, list, chunk);
        };
        return parts;
    }

    void start() {
        context_.report_loss = [this](std::uint64_t fingerprint) { report_loss(fingerprint); };
        context_.request_ended = [this] {
            if (gate_.take_refused_mark()) {
                announce();
            }
        };
        gate_.on_change([this] { announce(); });
        dialer_ = std::make_shared<dialer>(
            traffic_.context(), [this] { return make_hello(); },
            session_timing{options_.control.heartbeat_interval, options_.control.silence_timeout},
            make_observer());
        swarm_->start();
        peer_address_ = options_.advertised_peer_address.empty()
                            ? listening_address(options_.peer_address, swarm_->port())
                            : options_.advertised_peer_address;
        operator_server_ =
            start_operator_server(*parse_host_port(options_.operator_address), numbers_,
                                  {[this] { return readiness(); },
                                   [this](const server_request& request,
                                          const std::shared_ptr<http_responder>& responder) {
                                       handle_operator(request, *responder);
                                   }});
        log_event(
            log_level::info, "listening",
            {{"role", "agent"},
             {"instance", options_.instance},
             {"peer", peer_address_},
             {"peer_port", swarm_->port()},
             {"operator", listening_address(options_.operator_address, operator_server_->port())}});
        instances_.start(
            [this](const std::vector<listed_instance>& list) { take_instance_list(list); });
        control_.post([this] { watch_backend(); });
        control_.post([this] { ask_neighbours(); });
        repeat(control_, options_.control.key_sweep, [this] { sweeper_.sweep(); });
        repeat(control_, reconcile_interval, [this] {
            reconcile();
            const std::lock_guard<std::mutex> lock(progress_mutex_);
            progress_ = keeper_->progress();
        });
    }

    void reconcile() {
        if (is_engine()) {
            keeper_->reconcile();
        } else if (const service* found = own_service()) {
            gate_.set_bounds({found->limits.cold_concurrency, found->limits.max_concurrency});
            gate_.set_ready(true);
        }
    }

    const service* own_service() const {
        const control_view view = hub_.view();
        return view->accepted == nullptr
                   ? nullptr
                   : find_service(view->accepted->content, options_.backend_server.service);
    }

    bool is_engine() const {
        const service* found = own_service();
        return found == nullptr || found->kind == service_kind::engine;
    }

    void watch_backend() {
        if (own_service() == nullptr || !is_engine()) {
            control_.post_after(status_interval, [this] { watch_backend(); });
            return;
        }
        ask_status(platform_, options_.backend_server.address,
                   [this](result<engine_status> status) {
                       control_.post([this, status = std::move(status)] {
                           keeper_->take_status(status);
                           if (status) {
                               cache_watch_.read(status->boot);
                           }
                           keeper_->reconcile();
                           control_.post_after(status_interval, [this] { watch_backend(); });
                       });
                   });
    }

    void take_instance_list(const std::vector<listed_instance>& list) {
        std::vector<listed_instance> entries;
        for (const auto& row : list) {
            if (row.role == process_role::entry && !row.is_leaving) {
                entries.push_back(row);
            }
        }
        dialer::target_map targets;
        for (const auto& entry : choose_entries(options_.instance, options_.availability_zone,
                                                entries, options_.control.entries_per_agent)) {
            targets.emplace(entry.instance, entry.peer_address);
        }
        // An empty list is a fault of the list, not a reason to cut connections that work.
        if (!targets.empty()) {
            dialer_->set_targets(std::move(targets));
        }
    }

    shared_frame make_hello() const {
        wire::helloT hello;
        hello.protocol = wire_protocol_version;
        hello.role = wire::role::agent;
        hello.instance = options_.instance;
        hello.incarnation = incarnation_;
        hello.availability_zone = options_.availability_zone;
        hello.service = options_.backend_server.service;
        hello.peer_address = peer_address_;
        return make_frame(std::move(hello));
    }

    shared_frame make_heartbeat(std::uint64_t session) const {
        wire::heartbeatT heartbeat;
        hub_.fill_heartbeat(heartbeat, session);
        heartbeat.leaving = gate_.is_leaving();
        heartbeat.ready = gate_.is_ready();
        heartbeat.limit = gate_.open_limit();
        heartbeat.running = gate_.running();
        const std::lock_guard<std::mutex> lock(progress_mutex_);
        heartbeat.model_version = progress_.in_force;
        heartbeat.version_since_ms = progress_.in_force_since_ms;
        heartbeat.chunks_held = progress_.held;
        heartbeat.chunks_total = progress_.total;
        heartbeat.origin_bytes = progress_.origin_bytes;
        return make_frame(std::move(heartbeat));
    }

    session_observer make_observer() {
        session_observer observer;
        observer.on_hello = [this](const session_pointer& session, const wire::hello&) {
            session->send(make_heartbeat(session->number()));
        };
        observer.on_message = [this](const session_pointer& session,
                                     const wire::envelope& message) {
            handle_message(session, message);
        };
        observer.on_closed = [this](const session_pointer& session, close_reason reason) {
            handle_closed(session, reason);
        };
        observer.make_heartbeat = [this](const session_pointer& session) {
            hub_.count_bytes(*session);
            return make_heartbeat(session->number());
        };
        return observer;
    }

    void handle_message(const session_pointer& session, const wire::envelope& message) {

        if (hub_.handle_message(session, message)) {
            return;
        }
        switch (message.body_type()) {

        case wire::body::request_start:
            start_request(session, *message.body_as_request_start());
            break;
        case wire::body::neighbours_reply:
            take_neighbours(*message.body_as_neighbours_reply());
            break;
        case wire::body::request_cancel:
            cancel_request(session, message.body_as_request_cancel()->request());
            break;
        default:
            numbers_.count("citronseam_unexpected_messages_total");
            break;
        }
    }

    /// Asks one of the entries who else serves this service. Entries know their agents first hand,
    /// so the answer is fresher than the platform's list.
    void ask_neighbours() {
        const auto sessions = dialer_->sessions();
        if (!sessions.empty() && is_engine()) {
            auto chosen = sessions.begin();
            std::advance(chosen, below(random_, sessions.size()));
            wire::neighbours_requestT request;
            request.service = options_.backend_server.service;
            request.availability_zone = options_.availability_zone;
            chosen->second->send(make_frame(std::move(request)));
        }
        control_.post_after(neighbours_interval, [this] { ask_neighbours(); });
    }

    void take_neighbours(const wire::neighbours_reply& message) {
        const control_view view = hub_.view();
        if (view->accepted == nullptr || message.neighbours() == nullptr) {
            return;
        }
        const configuration& config = view->accepted->content;
        std::vector<swarm_member> members;
        for (const auto* row : *message.neighbours()) {
            members.push_back(
                {std::string(citronseam::view(row->instance())),
                 std::string(citronseam::view(row->peer_address())),
                 std::string(region_of(config, citronseam::view(row->availability_zone()))),
                 row->is_ready()});
        }
        control_.post([this, members = std::move(members),
                       region = std::string(region_of(config, options_.availability_zone)),
                       origin = config.origin_region]() mutable {
            swarm_->set_members(std::move(members), region, origin);
        });
    }

    void start_request(const session_pointer& session, const wire::request_start& message) {
        auto request = std::make_shared<agent_request>(context_, session, message);
        {
            const std::lock_guard<std::mutex> lock(requests_mutex_);
            request_map& own = requests_[session->number()];
            std::erase_if(own, [](const auto& entry) { return entry.second.expired(); });
            own[request->number()] = request;
        }
        request->start();
    }

    void cancel_request(const session_pointer& session, std::uint64_t number) {
        std::shared_ptr<agent_request> found;
        {
            const std::lock_guard<std::mutex> lock(requests_mutex_);
            found = requests_[session->number()][number].lock();
        }
        if (found != nullptr) {
            found->cancel();
        }
    }

    void handle_closed(const session_pointer& session, close_reason reason) {
        numbers_.count("citronseam_connections_closed_total",
                       {{"reason", std::string(name(reason))}});
        hub_.forget(session->number());
        request_map orphans;
        {
            const std::lock_guard<std::mutex> lock(requests_mutex_);
            orphans.swap(requests_[session->number()]);
            requests_.erase(session->number());
        }
        for (const auto& [number, weak] : orphans) {
            if (const auto request = weak.lock()) {
                request->entry_lost();
            }
        }
    }

    void report_loss(std::uint64_t fingerprint) {
        wire::crash_reportT report;
        report.fingerprint = fingerprint;
        report.instance = options_.instance;
        report.incarnation = context_.backend_life;
        broadcast(make_frame(std::move(report)));
    }

    void broadcast(const shared_frame& frame) {
        for (const auto& [name, session] : dialer_->sessions()) {
            session->send(frame);
        }
    }

    /// Sends heartbeats at once instead of at the next interval; several changes in a short time
    /// give one heartbeat.
    void announce() {
        if (is_announcing_.exchange(true)) {
            return;
        }
        control_.post([this] {
            is_announcing_ = false;
            {
                const std::lock_guard<std::mutex> lock(progress_mutex_);
                progress_ = keeper_->progress();
            }
            if (dialer_ == nullptr) {
                return;
            }
            for (const auto& [name, session] : dialer_->sessions()) {
                session->send(make_heartbeat(session->number()));
            }
        });
    }

    std::string readiness() const {
        if (hub_.view()->accepted == nullptr) {
            return "no configuration yet";
        }
        return gate_.is_ready() ? "" : "the backend server is not ready";
    }

    void handle_operator(const server_request& request, http_responder& responder) {
        if (request.path != "/v1/status") {
            respond_error(responder, 404, "no such path: " + request.path);
            return;
        }
        const std::lock_guard<std::mutex> lock(progress_mutex_);
        respond_json(responder, 200, agent_status_json(context_, progress_).dump());
    }

    void leave() {
        gate_.set_leaving();
        while (gate_.running() > 0) {
            std::this_thread::sleep_for(drain_poll);
        }
        const time_point longest = std::chrono::steady_clock::now() + longest_result_wait;
        while (context_.unwritten_results > 0 && std::chrono::steady_clock::now() < longest) {
            std::this_thread::sleep_for(drain_poll);
        }
        std::this_thread::sleep_for(linger);
        dialer_->stop();
        swarm_->stop();
        operator_server_.reset();
        control_.stop();
        traffic_.stop();
    }

    const settings& options_;
    std::uint64_t incarnation_;
    metrics numbers_;
    io_threads control_;
    io_threads traffic_;
    control_hub hub_;
    admission_gate gate_;
    http_client backend_;
    http_client platform_;
    table_client store_;
    agent_context context_;
    instance_watch instances_{control_, platform_, options_.platform.instance_list,
                              options_.control.list_poll};
    key_sweeper sweeper_{context_};
    std::shared_ptr<chunk_swarm> swarm_;
    std::shared_ptr<version_keeper> keeper_;
    cache_watch cache_watch_{context_, [this](const shared_frame& frame) { broadcast(frame); }};
    std::shared_ptr<dialer> dialer_;
    std::unique_ptr<http_server> operator_server_;
    std::string peer_address_;

    std::mutex requests_mutex_;
    std::map<std::uint64_t, request_map> requests_;

    random_source random_{seeded_random_source()};
    mutable std::mutex progress_mutex_;
    version_progress progress_;
    std::atomic<bool> is_announcing_{false};
};

} // namespace

int run_agent(const settings& options) {
    return agent(options).run();
}

} // namespace citronseam
