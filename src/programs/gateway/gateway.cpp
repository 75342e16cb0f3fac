#include "programs/gateway/gateway.h"

#include <atomic>
#include <future>
#include <list>
#include <thread>

#include "citronseam/connection/peer_session.h"
#include "citronseam/process/boot_clock.h"
#include "citronseam/process/log.h"
#include "citronseam/process/memory_plan.h"
#include "citronseam/process/store_reads.h"
#include "platform/directory.h"
#include "programs/daemon/operator_server.h"
#include "programs/daemon/role_runner.h"
#include "programs/gateway/crash_cause_table.h"
#include "programs/gateway/early_refusal.h"
#include "programs/gateway/gateway_exchange.h"
#include "programs/gateway/traffic_view_builder.h"
#include "programs/node/cluster_node.h"
#include "programs/node/demand_news.h"
#include "programs/node/weights_news.h"

namespace citronseam {
namespace {

constexpr milliseconds reader_check_interval{200};
/// A process whose control thread stood still for longer was out of touch.
constexpr milliseconds max_pause{1000};
/// Granularity of time limits on requests.
constexpr milliseconds sweep_interval{50};
/// Interval at which the traffic thread passes the demand of its callers to the heartbeats.
constexpr milliseconds demand_interval{250};
/// A traffic thread that is later than this is logged.
constexpr milliseconds max_traffic_lag{100};
/// Lifetime of a directory response. Some callers cache it three times as long, so a process that
/// shuts down must keep serving until then.
constexpr std::chrono::seconds directory_ttl{2};
constexpr int max_cached_lifetimes = 3;
constexpr milliseconds drain_check_interval{50};

/// Owns the components of a gateway process and connects them.
class gateway {
public:
    explicit gateway(const settings& options)
        : options_(options), memory_(make_memory_plan(options.node.memory_bytes)), control_(1),
          pool_(options, metrics_), context_{options_, control_, traffic_,     metrics_,
                                             pool_,    crashes_, first_events_},
          cluster_(options_, control_, traffic_, metrics_, make_observer()),
          server_rows_(control_, cluster_.store(), std::string(platform::servers_table),
                       follow_mode::poll, servers_read_interval(options.node.server_removal_due)),
          crash_causes_(control_, cluster_.store(), crashes_),
          view_builder_(options.node.weights_switch_deadline - options.node.settling_time),
          random_(seeded_random_source()) {
        set_peer_memory(memory_.peer_frames, memory_.peer_queue);
    }

    int run() {
        return run_role(options_, {[this] { start(); }, [this] { drain(); }, {}});
    }

private:
    void start() {
        const auto broadcast = [this](const shared_frame& frame) {
            control_.post([this, frame] { cluster_.mesh().send_to_gateways(frame); });
        };
        crashes_.set_broadcast(
            [this](const shared_frame& frame) { cluster_.mesh().send_to_gateways(frame); });
        pool_.set_broadcast(broadcast);
        first_events_.set_sender([this](const std::string& instance, const shared_frame& frame) {
            return cluster_.mesh().send_to(instance, frame);
        });
        open_servers();
        control_.post([this] {
            cluster_.start({&server_rows_});
            crash_causes_.start();
            // The server list changes with every heartbeat of a server, so it is polled instead of
            // watched.
            server_rows_.set_needed_check(
                [this] { return is_zone_reader_ || cluster_.is_server_list_outdated(); });
            server_rows_.start([this](const table_change& change) { apply_server_rows(change); });
            run_periodically(control_, reader_check_interval, [this] {
                detect_pause();
                update_heartbeat();
                update_zone_reader();
                update_readiness();
            });
        });
        sweep_exchanges();
        log_event(log_level::info, "started",
                  {{"role", "gateway"},
                   {"instance", options_.instance},
                   {"zone", options_.availability_zone},
                   {"http", options_.http_address},
                   {"store", options_.node.store_address}});
    }

    /// News that waited while this process was paused would count as new.
    void detect_pause() {
        const auto now = boot_clock::now();
        const auto pause = std::chrono::duration_cast<milliseconds>(now - awake_at_);
        awake_at_ = now;
        if (pause > max_pause) {
            log_event(log_level::warning, "process_paused", {{"pause_ms", pause.count()}});
            view_builder_.set_ages_unknown_until(std::chrono::steady_clock::now() +
                                                 options_.node.settling_time);
        }
    }

    void apply_server_rows(const table_change& change) {
        std::vector<versioned_row> relevant = view_builder_.apply_server_rows(change.rows);
        update_heartbeat();
        if (!relevant.empty() || change.previous_version == 0) {
            publish();
        }
        if (is_zone_reader_ && change.is_own_read) {
            if (era_of(change.version) > era_of(change.previous_version)) {
                // Receivers that do not know the era's age would hold back its rows.
                cluster_.mesh().send_heartbeat_to_zone();
            }
            cluster_.send_rows_to_zone(
                process_role::gateway, server_rows_.table(),
                {std::move(relevant), change.version, false, change.previous_version});
        }
    }

    /// One gateway of each zone polls the server list often and sends the changes to the others.
    void update_zone_reader() {
        const bool is_zone_reader = cluster_.is_server_reader();
        if (is_zone_reader != is_zone_reader_) {
            log_event(log_level::info,
                      is_zone_reader ? "zone_reader_started" : "zone_reader_stopped",
                      {{"zone", options_.availability_zone}});
        }
        is_zone_reader_ = is_zone_reader;
    }

    void open_servers() {
        server_options caller_options;
        caller_options.address = *parse_host_port(options_.http_address);
        caller_options.threads = 1;
        caller_options.max_unsent_bytes = memory_.unsent_responses;
        caller_options.received = received_;
        caller_server_ = std::make_unique<http_server>(
            caller_options,
            [this](server_request request, std::shared_ptr<http_responder> responder) {
                handle_caller_request(std::move(request), std::move(responder));
            });
        server_options internal_options;
        internal_options.threads = 1;
        internal_options.max_unsent_bytes = memory_.unsent_internal;
        internal_options.received = received_;
        internal_options.address = *parse_host_port(options_.node.readiness_address);
        readiness_server_ = std::make_unique<http_server>(
            internal_options, [this](const server_request& request,
                                     const std::shared_ptr<http_responder>& responder) {
                const bool is_readiness_path = platform::is_readiness_request(request);
                const int status = !is_readiness_path ? 404 : is_ready_ ? 200 : 503;
                responder->respond(status, {{"Content-Type", "text/plain"}}, "");
            });
        internal_options.address = *parse_host_port(options_.node.directory_address);
        directory_server_ = std::make_unique<http_server>(
            internal_options,
            [this](server_request request, const std::shared_ptr<http_responder>& responder) {
                control_.post([this, request = std::move(request), responder] {
                    handle_address_query(request, *responder);
                });
            });
        operator_server_ = start_operator_server(
            *parse_host_port(options_.operator_address), metrics_,
            {[this] { return std::string(is_ready_ ? "" : "beliefs are not complete"); },
             [](const server_request&, const std::shared_ptr<http_responder>& responder) {
                 respond_error(*responder, 404, "unknown path");
             }},
            internal_options);
    }

    void handle_caller_request(server_request request, std::shared_ptr<http_responder> responder) {
        const auto received_at = std::chrono::steady_clock::now();
        if (early_refusal_.try_refuse(request, *responder, received_at)) {
            return;
        }
        auto exchange = std::make_shared<gateway_exchange>(context_, std::move(request),
                                                           std::move(responder), received_at);
        traffic_.post([this, exchange] {
            exchanges_.push_back(exchange);
            exchange->start();
        });
    }

    /// Checks the time limits of requests and drops finished ones. Traffic thread.
    void sweep_exchanges() {
        const auto due = std::chrono::steady_clock::now() + sweep_interval;
        traffic_.post_after(sweep_interval, [this, due] {
            const auto now = std::chrono::steady_clock::now();
            record_traffic_lag(due, now);
            for (auto entry = exchanges_.begin(); entry != exchanges_.end();) {
                const auto exchange = entry->lock();
                if (exchange == nullptr || exchange->is_done()) {
                    entry = exchanges_.erase(entry);
                    continue;
                }
                exchange->check_time(now);
                ++entry;
            }
            publish_demand(now);
            early_refusal_.write_log(now);
            sweep_exchanges();
        });
    }

    /// Passes the demand to the control thread, which sends heartbeats. Traffic thread.
    void publish_demand(time_point now) {
        if (now - demand_published_at_ < demand_interval) {
            return;
        }
        demand_published_at_ = now;
        std::vector<reported_demand> ranks = pool_.demand_report(now);
        if (!ranks.empty() || has_published_demand_) {
            has_published_demand_ = !ranks.empty();
            control_.post([this, ranks = std::move(ranks)] { demand_ = ranks; });
        }
    }

    /// Sends and cancellations wait on the traffic thread as long as this timer is late.
    void record_traffic_lag(time_point due, time_point now) {
        const std::uint32_t lag_ms = elapsed_ms(due, now);
        metrics_.observe("citronseam_traffic_lag_seconds", {}, lag_ms / 1000.0);
        if (lag_ms > max_traffic_lag.count()) {
            log_event(log_level::warning, "traffic_thread_late", {{"late_ms", lag_ms}});
        }
    }

    void handle_address_query(const server_request& request, http_responder& responder) {
        const auto query = platform::parse_address_query(request);
        if (!query) {
            respond_error(responder, 404, "unknown path");
            return;
        }
        std::vector<reachable_gateway> gateways;
        if (is_ready_) {
            gateways.push_back(
                {options_.http_address, options_.availability_zone, options_.node.region});
        }
        for (const connected_member* connected : cluster_.mesh().members()) {
            const member& process = connected->process;
            if (process.role == process_role::gateway && connected->is_ready) {
                gateways.push_back({process.http_address, process.zone, process.region});
            }
        }
        const auto addresses = choose_gateway_addresses(gateways, query->zone, query->region,
                                                        platform::max_addresses, random_);
        if (addresses.empty()) {
            respond_error(responder, 503, "no gateway is ready");
            return;
        }
        respond_json(responder, 200, platform::format_addresses(addresses, directory_ttl));
    }

    cluster_observer make_observer() {
        cluster_observer observer;
        observer.on_operator_rows = [this](const std::vector<versioned_row>& changed) {
            detect_pause(); // the rows may be handled before the timer
            view_builder_.apply_operator_rows(changed, std::chrono::steady_clock::now());
            update_heartbeat();
            publish();
        };
        observer.on_store_restored = [this] {
            update_heartbeat();
            cluster_.mesh().send_heartbeat_to_zone();
            cluster_.mesh().send_heartbeat_to_other_zones();
        };
        observer.on_outdated_changed = [this] {
            view_builder_.set_outdated_since(cluster_.outdated_since());
            publish();
        };
        observer.on_members_changed = [this] {
            if (view_builder_.set_gateways(cluster_.gateways())) {
                update_heartbeat();
                publish();
            }
        };
        observer.on_heartbeat = [this](const connected_member& sender,
                                       const wire::member_beat& heartbeat) {
            handle_heartbeat(sender.process, heartbeat);
            apply_demand_report(sender.process, heartbeat);
        };
        observer.on_loss_report = [this](const wire::server_loss_report& report) {
            crashes_.apply(report);
        };
        observer.on_survival_report = [this](const wire::survival_report& report) {
            crashes_.apply(report);
        };
        observer.on_limit_report = [this](const wire::limit_report& report) {
            apply_limit_report(report);
        };
        observer.make_greeting = [this](const member& process) {
            return process.role == process_role::gateway ? crashes_.make_report_frames()
                                                         : std::vector<shared_frame>{};
        };
        return observer;
    }

    void handle_heartbeat(const member& sender, const wire::member_beat& heartbeat) {
        apply_announced_weights(heartbeat);
        if (const auto* engine = heartbeat.engine()) {
            engine_report report{engine->busy(),       engine->weights_version(),
                                 engine->is_loading(), engine->is_reachable(),
                                 std::nullopt,         engine_report{}.lifetime,
                                 engine->concurrency()};
            if (engine->slowdown_percent() > 0) {
                report.slowdown = engine->slowdown_percent() / 100.0;
            }
            if (engine->lifetime_ms() > 0) {
                report.lifetime = milliseconds(engine->lifetime_ms());
            }
            report.incarnation = engine->incarnation();
            if (engine->is_load_planned()) {
                report.time_until_load = milliseconds(engine->load_in_ms());
            }
            const std::string address(view(engine->address()));
            first_events_.set_sidecar(address, sender.instance);
            traffic_.post([this, report, address] {
                pool_.apply_engine_report(address, report, std::chrono::steady_clock::now());
            });
        }
    }

    void apply_demand_report(const member& sender, const wire::member_beat& heartbeat) {
        std::vector<reported_demand> ranks = read_demand(heartbeat);
        // Where nothing is balanced by demand, nobody reports any.
        if (sender.role != process_role::gateway || (ranks.empty() && demand_.empty())) {
            return;
        }
        traffic_.post([this, instance = sender.instance, zone = sender.zone,
                       ranks = std::move(ranks)]() mutable {
            pool_.apply_demand_report(instance, zone, std::move(ranks),
                                      std::chrono::steady_clock::now());
        });
    }

    void apply_announced_weights(const wire::member_beat& heartbeat) {
        const auto now = std::chrono::steady_clock::now();
        bool is_changed = false;
        for_each_announced_weights(
            heartbeat, now, [&](const std::string& model, const announced_version& told) {
                is_changed = view_builder_.apply_told_weights(model, told, now) || is_changed;
            });
        if (is_changed) {
            update_heartbeat();
            publish();
        }
    }

    void apply_limit_report(const wire::limit_report& report) {
        const auto limit =
            report.is_named() ? std::optional(report.requests_per_s()) : std::nullopt;
        traffic_.post([this, limit, id = std::string(view(report.instance())),
                       incarnation = report.incarnation()] {
            pool_.apply_limit_report(id, incarnation, limit, std::chrono::steady_clock::now());
        });
    }

    /// Passes the current view to the traffic thread. Control thread.
    void publish() {
        const auto view = view_builder_.build();
        if (caller_server_ != nullptr && view->routes != nullptr) {
            caller_server_->set_limits(view->routes->rules->limits);
        }
        // While the process drains, each response must announce that its connection closes.
        early_refusal_.set_view(is_draining_ ? nullptr : view);
        traffic_.post([this, view] {
            const listing_changes changes = pool_.set_view(view);
            for (const lost_server& server : changes.gone) {
                crashes_.record_gone(server);
            }
            for (const lost_server& server : changes.listed) {
                crashes_.record_listed(server);
            }
        });
        update_readiness();
    }

    /// An outdated configuration becomes unusable with time. Control thread.
    void update_readiness() {
        const auto trust =
            view_builder_.trust(options_.node.configuration_due, std::chrono::steady_clock::now());
        log_trust(trust);
        const bool is_ready = view_builder_.is_complete() && !is_draining_ &&
                              trust != configuration_trust::expired && has_caught_up();
        if (is_ready != is_ready_) {
            is_ready_ = is_ready;
            log_event(log_level::info, is_ready ? "ready" : "not_ready",
                      {{"configuration", view_builder_.configuration_version()}});
            cluster_.mesh().broadcast(update_heartbeat(), false);
        }
    }

    /// Callers are better off at another gateway than at one that refuses what it may not send yet,
    /// or sends on what crashes servers. The store may be down, so its causes are not waited for
    /// for long.
    bool has_caught_up() const {
        return std::chrono::steady_clock::now() - pool_.counting_since() >= cold_window ||
               (crash_causes_.is_read() && !view_builder_.limits_cold_servers());
    }

    /// Logs when requests begin or end to be refused for an outdated configuration.
    void log_trust(configuration_trust trust) {
        const bool is_doubtful =
            trust == configuration_trust::doubtful || trust == configuration_trust::expired;
        if (is_doubtful == is_configuration_doubtful_) {
            return;
        }
        is_configuration_doubtful_ = is_doubtful;
        const auto since = cluster_.outdated_since();
        const auto now = std::chrono::steady_clock::now();
        log_event(is_doubtful ? log_level::warning : log_level::info,
                  is_doubtful ? "configuration_outdated" : "configuration_current",
                  {{"configuration", view_builder_.configuration_version()},
                   {"rows", counter_of(cluster_.operator_version())},
                   {"announced", counter_of(cluster_.announced_operator_version())},
                   {"known_ms", since ? elapsed_ms(*since, now) : 0}});
    }

    wire::member_beatT update_heartbeat() {
        wire::member_beatT heartbeat;
        heartbeat.is_ready = is_ready_;
        heartbeat.operator_version = cluster_.operator_version();
        heartbeat.servers_version = server_rows_.rows().version;
        heartbeat.server_reads = server_rows_.read_count();
        heartbeat.operator_reads = cluster_.operator_reads();
        heartbeat.gateway_count = static_cast<std::uint32_t>(view_builder_.gateways().count);
        add_announced_weights(heartbeat, view_builder_.weights(),
                              options_.node.weights_switch_deadline,
                              std::chrono::steady_clock::now());
        cluster_.add_store_era(heartbeat);
        add_demand(heartbeat, demand_);
        cluster_.mesh().set_heartbeat(heartbeat);
        return heartbeat;
    }

    /// Announces the shutdown, serves callers whose cached addresses still name this process, and
    /// stops.
    void drain() {
        const auto drain_started_at = std::chrono::steady_clock::now();
        const shutdown_plan plan = plan_shutdown(drain_started_at, options_.node.grace_period);
        const auto max_drain_time =
            std::chrono::duration_cast<milliseconds>(plan.open_until - drain_started_at);
        traffic_.post([this, plan] { context_.shutdown = plan; });
        control_.post([this] {
            is_draining_ = true;
            publish();
        });
        const milliseconds min_drain_time = std::min<milliseconds>(
            max_drain_time,
            std::chrono::duration_cast<milliseconds>(directory_ttl) * max_cached_lifetimes);
        std::this_thread::sleep_until(drain_started_at + min_drain_time);
        wait_until_idle(plan.open_until);
        // What comes while the server ends would be passed on and then cut off.
        run_on_traffic_thread(
            [this] { context_.shutdown->open_until = std::chrono::steady_clock::now(); },
            plan.exits_at);
        wait_until_idle(plan.open_until);
        run_on_traffic_thread([this] { end_open_requests(); }, plan.exits_at);
        caller_server_->refuse_unfinished_requests();
        wait_until_idle(plan.exits_at);
        caller_server_.reset();
        readiness_server_.reset();
        directory_server_.reset();
        operator_server_.reset();
        control_.stop();
    }

    /// Waits until no request is open and all answers are with the operating system.
    void wait_until_idle(time_point latest) const {
        const auto is_idle = [this] {
            return context_.requests_in_flight == 0 && !caller_server_->has_unsent_responses();
        };
        while (!is_idle() && std::chrono::steady_clock::now() < latest) {
            std::this_thread::sleep_for(drain_check_interval);
        }
    }

    /// Runs a function on the traffic thread and waits for its end.
    void run_on_traffic_thread(std::function<void()> function, time_point latest) {
        const auto task = std::make_shared<std::packaged_task<void()>>(std::move(function));
        auto is_done = task->get_future();
        traffic_.post([task] { (*task)(); });
        if (is_done.wait_until(latest) != std::future_status::ready) {
            log_event(log_level::warning, "shutdown_late", {});
        }
    }

    /// Gives the callers of requests that are still open a final answer. Traffic thread.
    void end_open_requests() {
        for (const auto& entry : exchanges_) {
            if (const auto exchange = entry.lock()) {
                exchange->end_before_exit();
            }
        }
    }

    const settings& options_;
    const memory_plan memory_;
    metrics metrics_;
    const std::shared_ptr<receive_memory> received_{
        std::make_shared<receive_memory>(memory_.received_requests, &metrics_)};
    io_thread_pool control_;
    server_pool pool_;
    crash_evidence crashes_{control_};
    first_event_reporter first_events_{control_, metrics_};
    gateway_context context_;
    early_refusal early_refusal_{metrics_, options_.node.configuration_due};
    cluster_node cluster_;
    table_follower server_rows_;
    crash_cause_table crash_causes_;
    traffic_view_builder view_builder_;
    boot_clock::time_point awake_at_{boot_clock::now()}; ///< control thread only
    random_source random_;                               ///< control thread only
    bool is_zone_reader_{true};                          ///< control thread only
    std::atomic<bool> is_ready_{false};
    bool is_draining_{false};                              ///< control thread only
    bool is_configuration_doubtful_{false};                ///< control thread only
    std::vector<reported_demand> demand_;                  ///< control thread only
    time_point demand_published_at_;                       ///< traffic thread only
    bool has_published_demand_{false};                     ///< traffic thread only
    std::list<std::weak_ptr<gateway_exchange>> exchanges_; ///< traffic thread only
    http_client traffic_{memory_.client_buffers}; ///< destroyed before what its exchanges refer to
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> readiness_server_;
    std::unique_ptr<http_server> directory_server_;
    std::unique_ptr<http_server> operator_server_;
};

} // namespace

int run_gateway(const settings& options) {
    return gateway(options).run();
}

} // namespace citronseam
