#include "programs/entry/entry.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include <nlohmann/json.hpp>

#include "citronseam/connection/dialer.h"
#include "citronseam/connection/http_client.h"
#include "citronseam/connection/peer_listener.h"
#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"
#include "programs/daemon/instance_list_poller.h"
#include "programs/daemon/operator_server.h"
#include "programs/daemon/role_runner.h"
#include "programs/entry/backend_server_directory.h"
#include "programs/entry/caller_request_handler.h"
#include "programs/entry/configuration_poller.h"
#include "programs/entry/crash_check.h"
#include "programs/entry/entry_mesh.h"
#include "programs/entry/entry_operator_api.h"
#include "programs/entry/neighbours_reply.h"

namespace citronseam {
namespace {

constexpr milliseconds dispatcher_tick_interval{50};
constexpr milliseconds store_timeout{900};
constexpr milliseconds drain_poll_interval{20};
constexpr milliseconds response_flush_delay{300};
/// Of all callers, some of which may read long responses slowly.
constexpr std::size_t max_unsent_bytes = 160 * mebibyte;
/// Maximum number of entries that an entry dials. With up to this many others the mesh is full.
constexpr std::size_t max_mesh_connections = 12;
/// Bounds the head row reads of all entries together to 1000 / this value per second.
constexpr milliseconds poll_interval_per_entry{20};

class entry {
public:
    explicit entry(const settings& options)
        : options_(options), incarnation_(wall_clock_ms()), control_(1),
          traffic_(options.traffic_threads), state_sync_(control_, metrics_),
          directory_(options.availability_zone, state_sync_, metrics_),
          table_client_(platform_client_, options.platform.table_service,
                        options.platform.object_store, store_timeout),
          configuration_poller_(control_, table_client_, state_sync_, metrics_),
          context_{options_,
                   control_,
                   traffic_,
                   metrics_,
                   state_sync_,
                   crashes_,
                   crash_check_,
                   traces_,
                   latencies_,
                   [this](const std::string& service) { return directory_.find_dispatcher(service); }} {}

    int run() {
        return run_role(options_, {[this] { start(); }, [this] { shut_down(); }, {}});
    }

private:
    using session_pointer = std::shared_ptr<peer_session>;

    void start() {
        state_sync_.on_change([this](const control_view& view) {
            directory_.apply_control_state(view);
            announce_generation(accepted_generation(*view));
        });
        crashes_.set_broadcast([this](const shared_frame& frame) { mesh_.broadcast(frame); });
        listener_ = std::make_shared<peer_listener>(
            traffic_.context(), *parse_host_port(options_.peer_address),
            [this](asio::ip::tcp::socket socket) { accept(std::move(socket)); });
        peer_address_ = listening_address(options_.peer_address, listener_->port());
        server_options callers;
        callers.address = *parse_host_port(options_.http_address);
        callers.threads = static_cast<int>(options_.http_threads);
        callers.max_unsent_bytes = max_unsent_bytes;
        callers.received =
            std::make_shared<receive_memory>(receive_memory::default_limit, &metrics_);
        server_options operators;
        operators.received = callers.received;
        http_server_ = std::make_unique<http_server>(
            callers, [this](server_request request, std::shared_ptr<http_responder> responder) {
                request_handler_.handle(std::move(request), std::move(responder));
            });
        request_handler_.set_address(
            listening_address(options_.http_address, http_server_->port()));
        operator_server_ = start_operator_server(
            *parse_host_port(options_.operator_address), metrics_,
            {[this] { return readiness(); },
             [this](const server_request& request,
                    const std::shared_ptr<http_responder>& responder) {
                 handle_operator_request(make_operator_context(), request, *responder);
             }},
            operators);
        dialer_ = std::make_shared<dialer>(
            traffic_.context(), [this] { return make_hello(); }, timing(), make_observer());
        listener_->start();
        configuration_poller_.start([this] { return poll_interval(); });
        instance_list_poller_.start(
            [this](const std::vector<listed_instance>& list) { handle_instance_list(list); });
        run_periodically(control_, dispatcher_tick_interval, [this] {
            directory_.tick(std::chrono::steady_clock::now());
            record_majority_evidence();
        });
        log_event(
            log_level::info, "listening",
            {{"role", "entry"},
             {"instance", options_.instance},
             {"http", request_handler_.address()},
             {"peer", peer_address_},
             {"operator", listening_address(options_.operator_address, operator_server_->port())}});
    }

    session_timing timing() const {
        return {options_.control.heartbeat_interval, options_.control.silence_timeout};
    }

    milliseconds poll_interval() const {
        const auto entries = static_cast<std::int64_t>(entry_count_.load());
        return std::max(options_.control.store_poll_interval, poll_interval_per_entry * entries);
    }

    /// Sends heartbeats immediately when a newer configuration comes into force here, so that peers
    /// need not wait for the next regular one. Runs on the control thread.
    void announce_generation(std::uint64_t generation) {
        if (generation <= announced_generation_) {
            return;
        }
        announced_generation_ = generation;
        for (const auto& other : mesh_.list()) {
            other.session->send(make_heartbeat(other.session->number()));
        }
        for (const auto& link : directory_.links()) {
            link->session()->send(make_heartbeat(link->session()->number()));
        }
    }

    // Connections between processes.

    shared_frame make_hello() const {
        wire::helloT hello;
        hello.protocol = wire_protocol_version;
        hello.role = wire::role::entry;
        hello.instance = options_.instance;
        hello.incarnation = incarnation_;
        hello.availability_zone = options_.availability_zone;
        hello.peer_address = peer_address_;
        hello.http_address = request_handler_.address();
        return make_frame(std::move(hello));
    }

    shared_frame make_heartbeat(std::uint64_t session) const {
        wire::heartbeatT heartbeat;
        state_sync_.fill_heartbeat(heartbeat, session);
        heartbeat.leaving = request_handler_.is_leaving();
        heartbeat.ready = state_sync_.view()->accepted != nullptr;
        heartbeat.running = request_handler_.running();
        return make_frame(std::move(heartbeat));
    }

    void accept(asio::ip::tcp::socket socket) {
        std::make_shared<peer_session>(std::move(socket), make_hello(), timing(), make_observer())
            ->start();
    }

    session_observer make_observer() {
        session_observer observer;
        observer.on_hello = [this](const session_pointer& session, const wire::hello& hello) {
            handle_hello(session, hello);
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

    void handle_hello(const session_pointer& session, const wire::hello& hello) {
        session->send(make_heartbeat(session->number()));
        if (hello.role() == wire::role::entry) {
            mesh_.add(session, hello);
            for (const auto& frame : crashes_.make_report_frames()) {
                session->send(frame);
            }
            return;
        }
        auto link = std::make_shared<backend_server_link>(session, hello);
        if (!directory_.add(link)) {
            session->close(close_reason::closed_locally);
            return;
        }
        const std::lock_guard<std::mutex> lock(links_mutex_);
        links_[session->number()] = link;
    }

    std::shared_ptr<backend_server_link> find_link(std::uint64_t session) const {
        const std::lock_guard<std::mutex> lock(links_mutex_);
        const auto found = links_.find(session);
        return found == links_.end() ? nullptr : found->second;
    }

    void handle_message(const session_pointer& session, const wire::envelope& message) {
        if (state_sync_.handle_message(session, message)) {
            handle_heartbeat(session, message);
            return;
        }
        switch (message.body_type()) {
        case wire::body::neighbours_request:
            session->send(make_frame(make_neighbours_reply(
                directory_, view(message.body_as_neighbours_request()->service()))));
            break;
        case wire::body::crash_report:
            crashes_.handle_report(*message.body_as_crash_report());
            break;
        case wire::body::crash_check: {
            wire::crash_check_replyT reply;
            reply.number = message.body_as_crash_check()->number();
            session->send(make_frame(reply));
            break;
        }
        case wire::body::crash_check_reply:
            crash_check_.handle_reply(session->number(),
                                      message.body_as_crash_check_reply()->number());
            break;
        case wire::body::cache_report:
            if (const auto link = find_link(session->number())) {
                directory_.handle_cache_report(*link, *message.body_as_cache_report());
            }
            break;
        case wire::body::response_head:
        case wire::body::response_data:
        case wire::body::response_end:
            handle_response(session, message);
            break;
        default:
            metrics_.count("citronseam_unexpected_messages_total");
            break;
        }
    }

    void handle_heartbeat(const session_pointer& session, const wire::envelope& message) {
        const wire::heartbeat* heartbeat = message.body_as_heartbeat();
        if (heartbeat == nullptr) {
            return;
        }
        if (const auto link = find_link(session->number())) {
            directory_.handle_heartbeat(link, *heartbeat);
        } else {
            mesh_.handle_heartbeat(session->number(), *heartbeat);
        }
    }

    void handle_response(const session_pointer& session, const wire::envelope& message) {
        const auto link = find_link(session->number());
        if (link == nullptr) {
            return;
        }
        if (const auto* head = message.body_as_response_head()) {
            if (const auto exchange = find_exchange(*link, head->request())) {
                exchange->handle_head(head->request(), *head);
            }
        } else if (const auto* data = message.body_as_response_data()) {
            if (const auto exchange = find_exchange(*link, data->request())) {
                exchange->handle_data(data->request(), *data);
            }
        } else if (const auto* end = message.body_as_response_end()) {
            if (is_transient(from_wire(end->refusal()))) {
                // The agent accepts nothing at present; assume no capacity until its next
                // heartbeat. Set here, in the order of the frames, and not by the exchange: that
                // could be later than the heartbeat.
                link->load().limit.store(0, std::memory_order_relaxed);
            }
            if (const auto exchange = find_exchange(*link, end->request())) {
                exchange->handle_end(end->request(), *end);
            }
        }
    }

    std::shared_ptr<request_exchange> find_exchange(const backend_server_link& link,
                                                    std::uint64_t attempt) {
        auto exchange = link.find_exchange(attempt);
        if (exchange == nullptr) {
            metrics_.count("citronseam_late_frames_total");
        }
        return exchange;
    }

    void handle_closed(const session_pointer& session, close_reason reason) {
        metrics_.count("citronseam_connections_closed_total",
                       {{"reason", std::string(name(reason))}});
        state_sync_.remove_session(session->number());
        mesh_.remove(session->number());
        crash_check_.handle_session_lost(session->number());
        std::shared_ptr<backend_server_link> link;
        {
            const std::lock_guard<std::mutex> lock(links_mutex_);
            const auto found = links_.find(session->number());
            if (found != links_.end()) {
                link = found->second;
                links_.erase(found);
            }
        }
        if (link != nullptr) {
            directory_.remove(link, reason);
        }
    }

    // The other entries.

    void handle_instance_list(const std::vector<listed_instance>& list) {
        std::vector<listed_instance> others;
        for (const auto& row : list) {
            if (row.role == process_role::entry && row.instance != options_.instance) {
                others.push_back(row);
            }
        }
        entry_count_ = others.size() + 1;
        directory_.set_entry_count(
            std::min(static_cast<std::uint32_t>(entry_count_), options_.control.entries_per_agent));
        const bool is_full_mesh = others.size() <= max_mesh_connections;
        dialer::target_map targets;
        for (const auto& other : choose_entries(options_.instance, options_.availability_zone,
                                                others, max_mesh_connections)) {
            // A full mesh needs one connection for each pair: the instance with the smaller name
            // dials.
            if (!is_full_mesh || options_.instance < other.instance) {
                targets.emplace(other.instance, other.peer_address);
            }
        }
        dialer_->set_targets(std::move(targets));
    }

    /// Derives evidence that the state is the newest from contact with a majority of the entries.
    /// While the table service is down, no configuration can be accepted; only notices can still
    /// change, and those reach a majority. See docs/DESIGN.md, "Evidence".
    void record_majority_evidence() {
        std::vector<time_point> last_contacts;
        for (const auto& other : mesh_.list()) {
            last_contacts.push_back(state_sync_.last_echo(other.session->number()));
        }
        const time_point evidence = last_majority_contact(std::move(last_contacts), entry_count_,
                                                          std::chrono::steady_clock::now());
        if (evidence != time_point{}) {
            state_sync_.post_evidence(evidence);
        }
    }

    // Operators.

    operator_api_context make_operator_context() {
        return {options_.instance,
                options_.availability_zone,
                request_handler_.address(),
                state_sync_,
                directory_,
                mesh_,
                crashes_,
                traces_,
                latencies_,
                request_handler_.is_leaving(),
                request_handler_.running()};
    }

    std::string readiness() const {
        if (request_handler_.is_leaving()) {
            return "leaving";
        }
        return state_sync_.view()->accepted == nullptr ? "no configuration yet" : "";
    }

    void shut_down() {
        request_handler_.set_leaving();
        for (const auto& other : mesh_.list()) {
            other.session->send(make_heartbeat(other.session->number()));
        }
        const time_point earliest_stop = std::chrono::steady_clock::now() + entry_list_lifetime;
        while (request_handler_.running() > 0 || std::chrono::steady_clock::now() < earliest_stop) {
            std::this_thread::sleep_for(drain_poll_interval);
        }
        std::this_thread::sleep_for(response_flush_delay);
        listener_->close();
        dialer_->stop();
        http_server_.reset();
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
    /// The second loss is of a server that ran nothing else.
    crash_registry crashes_{2};
    trace_buffer traces_;
    latency_recorder latencies_;
    backend_server_directory directory_;
    entry_mesh mesh_;
    crash_check crash_check_{traffic_, mesh_, metrics_, options_.control.silence_timeout};
    http_client platform_client_{2 * max_object_size};
    table_client table_client_;
    configuration_poller configuration_poller_;
    instance_list_poller instance_list_poller_{control_, platform_client_,
                                               options_.platform.instance_list,
                                               options_.control.list_poll_interval};
    entry_context context_;
    caller_request_handler request_handler_{context_, mesh_, incarnation_};

    std::shared_ptr<peer_listener> listener_;
    std::shared_ptr<dialer> dialer_;
    std::unique_ptr<http_server> http_server_;
    std::unique_ptr<http_server> operator_server_;
    std::string peer_address_;

    mutable std::mutex links_mutex_;
    std::map<std::uint64_t, std::shared_ptr<backend_server_link>> links_; ///< by session

    std::atomic<std::size_t> entry_count_{1};
    std::uint64_t announced_generation_{0}; ///< control thread only
};

} // namespace

int run_entry(const settings& options) {
    return entry(options).run();
}

} // namespace citronseam
