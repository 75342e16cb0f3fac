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
/// Interval between requests to an entry for the other agents of the service.
constexpr milliseconds peer_query_interval{500};
constexpr milliseconds store_timeout{1500};
constexpr milliseconds drain_poll_interval{20};
/// Longest time that shutdown waits for results of keyed requests to be written to the store.
constexpr milliseconds max_result_wait{30000};
/// Time for the sockets to send buffered responses after the last request ended.
constexpr milliseconds socket_flush_delay{300};

/// Weights are fetched over a link that all agents share, so a single chunk may take long.
constexpr milliseconds origin_fetch_timeout{30000};

/// @return the request that fetches a chunk as a byte range of the weights at the origin
http_request make_origin_request(const std::string& store, const manifest& list,
                                 std::size_t chunk) {
    const std::uint64_t first = chunk_offset(list, chunk);
    const std::uint64_t last = first + list.chunks[chunk].size - 1;
    http_request request;
    request.url = store + "/weights/" + list.source;
    request.headers = {{"Range", "bytes=" + std::to_string(first) + "-" + std::to_string(last)}};
    request.timeout = origin_fetch_timeout;
    return request;
}

/// Owns the components of the agent and connects them.
class agent {
public:
    explicit agent(const settings& options)
        : options_(options), incarnation_(wall_clock_ms()), control_(1),
          traffic_(options.traffic_threads), state_sync_(control_, metrics_),
          admission_(options.availability_zone, options.backend_server.service, state_sync_,
                     metrics_),
          store_(platform_, options.platform.table_service, options.platform.object_store,
                 store_timeout),
          context_{options_, incarnation_, control_, traffic_, metrics_, state_sync_, admission_,
                   backend_, platform_,    store_,   {1},      {0},      {},          {}},
          swarm_(
              std::make_shared<chunk_swarm>(make_swarm_context(), [this] { return make_hello(); })),
          reconciler_(std::make_shared<version_reconciler>(context_, swarm_)) {}

    int run() {
        return run_role(options_, {[this] { start(); }, [this] { shut_down(); }, {}});
    }

private:
    using session_pointer = std::shared_ptr<peer_session>;
    using request_map = std::map<std::uint64_t, std::weak_ptr<agent_request>>;

    swarm_context make_swarm_context() {
        swarm_context context{
            options_.instance,
            options_.backend_server.service,
            options_.peer_address,
            wire::role::agent,
            {options_.control.heartbeat_interval, options_.control.silence_timeout},
            options_.weight_memory_bytes,
            control_,
            traffic_,
            metrics_,
            platform_,
            {},
            [this](peer_session& session) { state_sync_.count_bytes(session); }};
        context.make_origin_request = [this](const manifest& list, std::size_t chunk) {
            return make_origin_request(options_.platform.weight_store, list, chunk);
        };
        return context;
    }

    void start() {
        context_.report_backend_loss = [this](std::uint64_t fingerprint) {
            report_backend_loss(fingerprint);
        };
        context_.on_request_ended = [this] {
            if (admission_.consume_limit_refusal()) {
                send_heartbeats();
            }
        };
        admission_.set_change_callback([this] { send_heartbeats(); });
        dialer_ = std::make_shared<dialer>(
            traffic_.context(), [this] { return make_hello(); },
            session_timing{options_.control.heartbeat_interval, options_.control.silence_timeout},
            make_observer());
        swarm_->start();
        peer_address_ = options_.advertised_peer_address.empty()
                            ? listening_address(options_.peer_address, swarm_->port())
                            : options_.advertised_peer_address;
        operator_server_ =
            start_operator_server(*parse_host_port(options_.operator_address), metrics_,
                                  {[this] { return readiness(); },
                                   [this](const server_request& request,
                                          const std::shared_ptr<http_responder>& responder) {
                                       handle_operator_request(request, *responder);
                                   }});
        log_event(
            log_level::info, "listening",
            {{"role", "agent"},
             {"instance", options_.instance},
             {"peer", peer_address_},
             {"peer_port", swarm_->port()},
             {"operator", listening_address(options_.operator_address, operator_server_->port())}});
        instance_list_poller_.start(
            [this](const std::vector<listed_instance>& list) { handle_instance_list(list); });
        control_.post([this] { poll_backend_status(); });
        control_.post([this] { request_service_members(); });
        run_periodically(control_, options_.control.key_sweep_interval,
                         [this] { sweeper_.sweep(); });
        run_periodically(control_, reconcile_interval, [this] {
            reconcile();
            const std::lock_guard<std::mutex> lock(progress_mutex_);
            progress_ = reconciler_->progress();
        });
    }

    void reconcile() {
        if (has_engine_backend()) {
            reconciler_->reconcile();
        } else if (const service* found = own_service()) {
            admission_.set_bounds({found->limits.cold_concurrency, found->limits.max_concurrency});
            admission_.set_ready(true);
        }
    }

    const service* own_service() const {
        const control_view view = state_sync_.view();
        return view->accepted == nullptr
                   ? nullptr
                   : find_service(view->accepted->content, options_.backend_server.service);
    }

    bool has_engine_backend() const {
        const service* found = own_service();
        return found == nullptr || found->kind == service_kind::engine;
    }

    void poll_backend_status() {
        if (own_service() == nullptr || !has_engine_backend()) {
            control_.post_after(status_interval, [this] { poll_backend_status(); });
            return;
        }
        fetch_status(
            platform_, options_.backend_server.address, [this](result<engine_status> status) {
                control_.post([this, status = std::move(status)] {
                    reconciler_->handle_status(status);
                    if (status) {
                        cache_event_reader_.poll(status->boot_id);
                    }
                    reconciler_->reconcile();
                    control_.post_after(status_interval, [this] { poll_backend_status(); });
                });
            });
    }

    void handle_instance_list(const std::vector<listed_instance>& list) {
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
        // An empty list is a fault of the list, not a reason to close working connections.
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
        state_sync_.fill_heartbeat(heartbeat, session);
        heartbeat.leaving = admission_.is_leaving();
        heartbeat.ready = admission_.is_ready();
        heartbeat.limit = admission_.effective_limit();
        heartbeat.running = admission_.running();
        const std::lock_guard<std::mutex> lock(progress_mutex_);
        heartbeat.model_version = progress_.active_version;
        heartbeat.version_since_ms = progress_.active_since_ms;
        heartbeat.chunks_held = progress_.chunks_held;
        heartbeat.chunks_total = progress_.chunks_total;
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
            state_sync_.count_bytes(*session);
            return make_heartbeat(session->number());
        };
        return observer;
    }

    void handle_message(const session_pointer& session, const wire::envelope& message) {
        if (state_sync_.handle_message(session, message)) {
            return;
        }
        switch (message.body_type()) {
        case wire::body::request_start:
            start_request(session, *message.body_as_request_start());
            break;
        case wire::body::neighbours_reply:
            handle_neighbours_reply(*message.body_as_neighbours_reply());
            break;
        case wire::body::request_cancel:
            cancel_request(session, message.body_as_request_cancel()->request());
            break;
        default:
            metrics_.count("citronseam_unexpected_messages_total");
            break;
        }
    }

    /// Asks a randomly chosen entry for the other agents of the service. Entries are connected to
    /// their agents, so their reply is more recent than the platform's instance list.
    void request_service_members() {
        const auto sessions = dialer_->sessions();
        if (!sessions.empty() && has_engine_backend()) {
            auto chosen_session = sessions.begin();
            std::advance(chosen_session, random_below(random_, sessions.size()));
            wire::neighbours_requestT request;
            request.service = options_.backend_server.service;
            request.availability_zone = options_.availability_zone;
            chosen_session->second->send(make_frame(std::move(request)));
        }
        control_.post_after(peer_query_interval, [this] { request_service_members(); });
    }

    void handle_neighbours_reply(const wire::neighbours_reply& message) {
        const control_view view = state_sync_.view();
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
            request_map& session_requests = requests_[session->number()];
            std::erase_if(session_requests,
                          [](const auto& entry) { return entry.second.expired(); });
            session_requests[request->number()] = request;
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
        metrics_.count("citronseam_connections_closed_total",
                       {{"reason", std::string(name(reason))}});
        state_sync_.remove_session(session->number());
        request_map disconnected_requests;
        {
            const std::lock_guard<std::mutex> lock(requests_mutex_);
            disconnected_requests.swap(requests_[session->number()]);
            requests_.erase(session->number());
        }
        for (const auto& [number, weak] : disconnected_requests) {
            if (const auto request = weak.lock()) {
                request->handle_entry_disconnect();
            }
        }
    }

    void report_backend_loss(std::uint64_t fingerprint) {
        wire::crash_reportT report;
        report.fingerprint = fingerprint;
        report.instance = options_.instance;
        report.incarnation = context_.backend_incarnation;
        broadcast(make_frame(std::move(report)));
    }

    void broadcast(const shared_frame& frame) {
        for (const auto& [name, session] : dialer_->sessions()) {
            session->send(frame);
        }
    }

    /// Sends heartbeats to all entries without waiting for the next interval. Changes that arrive
    /// before the queued heartbeat is sent are merged into it.
    void send_heartbeats() {
        if (is_heartbeat_queued_.exchange(true)) {
            return;
        }
        control_.post([this] {
            is_heartbeat_queued_ = false;
            {
                const std::lock_guard<std::mutex> lock(progress_mutex_);
                progress_ = reconciler_->progress();
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
        if (state_sync_.view()->accepted == nullptr) {
            return "no configuration yet";
        }
        return admission_.is_ready() ? "" : "the backend server is not ready";
    }

    void handle_operator_request(const server_request& request, http_responder& responder) {
        if (request.path != "/v1/status") {
            respond_error(responder, 404, "no such path: " + request.path);
            return;
        }
        const std::lock_guard<std::mutex> lock(progress_mutex_);
        respond_json(responder, 200, agent_status_json(context_, progress_).dump());
    }

    void shut_down() {
        admission_.set_leaving();
        while (admission_.running() > 0) {
            std::this_thread::sleep_for(drain_poll_interval);
        }
        const time_point deadline = std::chrono::steady_clock::now() + max_result_wait;
        while (context_.unwritten_results > 0 && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(drain_poll_interval);
        }
        std::this_thread::sleep_for(socket_flush_delay);
        dialer_->stop();
        swarm_->stop();
        operator_server_.reset();
        control_.stop();
        traffic_.stop();
    }

    const settings& options_;
    std::uint64_t incarnation_;
    metrics metrics_;
    io_thread_pool control_;
    io_thread_pool traffic_;
    control_state_sync state_sync_;
    admission_controller admission_;
    http_client backend_;
    http_client platform_{2 * max_object_size};
    table_client store_;
    agent_context context_;
    instance_list_poller instance_list_poller_{control_, platform_, options_.platform.instance_list,
                                               options_.control.list_poll_interval};
    key_sweeper sweeper_{context_};
    std::shared_ptr<chunk_swarm> swarm_;
    std::shared_ptr<version_reconciler> reconciler_;
    cache_event_reader cache_event_reader_{context_,
                                           [this](const shared_frame& frame) { broadcast(frame); }};
    std::shared_ptr<dialer> dialer_;
    std::unique_ptr<http_server> operator_server_;
    std::string peer_address_;

    std::mutex requests_mutex_;
    std::map<std::uint64_t, request_map> requests_;

    random_source random_{seeded_random_source()};
    mutable std::mutex progress_mutex_;
    version_progress progress_;
    std::atomic<bool> is_heartbeat_queued_{false};
};

} // namespace

int run_agent(const settings& options) {
    return agent(options).run();
}

} // namespace citronseam
