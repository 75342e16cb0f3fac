#include "programs/sidecar/sidecar.h"

#include <algorithm>
#include <cmath>

#include "citronseam/process/log.h"
#include "citronseam/process/memory_plan.h"
#include "citronseam/process/message_rates.h"
#include "citronseam/request/server_pace.h"
#include "platform/decode.h"
#include "programs/daemon/operator_server.h"
#include "programs/daemon/role_runner.h"
#include "programs/node/cluster_node.h"
#include "programs/node/operator_rows.h"
#include "programs/node/weights_news.h"
#include "programs/sidecar/engine_monitor.h"
#include "programs/sidecar/weights_fetcher.h"
#include "programs/sidecar/weights_loader.h"

namespace citronseam {
namespace {

/// Of the connections to other sidecars, over which pieces are sent.
constexpr session_timing swarm_timing{milliseconds(500), milliseconds(2000)};
constexpr milliseconds reconcile_interval{50};
/// Interval of requests for the list of sidecars, so that it is up to date when a fetch starts.
constexpr milliseconds members_interval{500};
/// A chunk queues behind the requests of other neighbours; without progress for longer than this
/// the next sidecar takes over.
constexpr milliseconds min_stall_timeout{900};
/// A chunk that no neighbour holds after this time is fetched from the origin by the next sidecar:
/// several times as long as the origin needs to send all chunks once.
constexpr milliseconds chunk_failover_delay{2500};
/// A new process learns of the other sidecars within members_interval.
constexpr milliseconds settling_time{500};
/// Outstanding requests of one sidecar to the origin. Many sidecars use the origin's link at the
/// same time; the fewer chunks share it, the sooner the first ones arrive and spread.
constexpr std::uint32_t max_origin_requests = 1;
/// Outstanding chunk requests. On a link that takes 35 ms per chunk, more of them would delay the
/// engine's live requests by a third of their latency objective.
constexpr std::uint32_t max_requests = 3;
/// Share of the instance's link that downloads of weights may use. The rest is for live requests.
constexpr std::uint64_t download_percent = 75;
/// Higher than download_percent, or concurrent requests to the same sender would queue up there.
constexpr std::uint64_t upload_percent = 78;
/// Limits while the engine serves no requests.
constexpr std::uint32_t max_requests_idle = 6;
constexpr std::uint64_t download_percent_idle = 95;
/// Gateways add the requests that they sent since the last report, so frequent reports are needed
/// only after larger changes.
constexpr milliseconds report_interval{200};
/// Change of the load, in requests, that is reported immediately.
constexpr std::uint32_t significant_load_change = 3;
/// Version of the weights until the operator announces another.
constexpr std::uint64_t first_weights_version = 1;

/// Owns and connects the components of a sidecar.
class sidecar {
public:
    explicit sidecar(const settings& options)
        : options_(options), control_(1), context_{options_, control_, http_, metrics_},
          cluster_(options_, control_, http_, metrics_, make_observer()),
          proofs_(control_, cluster_.store()), engine_(context_),
          swarm_(std::make_shared<chunk_swarm>(make_swarm_context(),
                                               [this] { return make_swarm_hello(); })),
          loader_(std::make_shared<weights_loader>(context_, engine_, make_loader_callbacks())),
          fetcher_(std::make_shared<weights_fetcher>(
              context_, engine_, proofs_, swarm_,
              [this](std::shared_ptr<const complete_weights> weights) {
                  loader_->set_complete_weights(std::move(weights));
              })) {}

    int run() {
        return run_role(options_, {[this] { start(); }, [this] { stop(); }, {}});
    }

private:
    void start() {
        const memory_plan memory = make_memory_plan(options_.node.memory_bytes);
        server_options operator_options;
        operator_options.max_unsent_bytes = memory.unsent_internal;
        operator_options.received =
            std::make_shared<receive_memory>(memory.received_requests, &metrics_);
        operator_server_ = start_operator_server(
            *parse_host_port(options_.operator_address), metrics_,
            {[] { return std::string(); },
             [](const server_request&, const std::shared_ptr<http_responder>& responder) {
                 respond_error(*responder, 404, "unknown path");
             }},
            operator_options);
        control_.post([this] {
            set_rates();
            swarm_->set_list_handler([this](const std::string& version, const digest_list& list,
                                            const std::string& instance) {
                fetcher_->handle_member_list(version, list, instance);
            });
            swarm_->set_mismatch_handler(
                [this](const std::string& version, std::size_t chunk, list_source source) {
                    fetcher_->handle_mismatch(version, chunk, source);
                });
            swarm_->start();
            cluster_.start({});
            engine_.start([this] {
                set_rates();
                loader_->reconcile();
                observe_pace();
                report_to_gateways();
            });
            run_periodically(control_, reconcile_interval, [this] {
                fetcher_->reconcile();
                loader_->reconcile();
            });
            run_periodically(control_, members_interval, [this] { request_members(); });
        });
        log_event(log_level::info, "started",
                  {{"role", "sidecar"},
                   {"instance", options_.instance},
                   {"zone", options_.availability_zone},
                   {"engine", options_.backend_server.address},
                   {"store", options_.node.store_address}});
    }

    void stop() {
        operator_server_.reset();
        control_.post([this] {
            cluster_.stop();
            swarm_->stop();
        });
        control_.stop();
    }

    swarm_context make_swarm_context() {
        swarm_context context{options_.instance,
                              options_.backend_server.service,
                              options_.peer_address,
                              wire::role::sidecar,
                              swarm_timing,
                              options_.weight_memory_bytes,
                              control_,
                              control_,
                              metrics_,
                              http_,
                              {},
                              {}};
        context.make_origin_request = [this](const manifest&, std::size_t chunk) {
            return fetcher_->make_origin_request(chunk);
        };
        return context;
    }

    /// Leaves bandwidth for live requests while the engine serves any.
    void set_rates() {
        const bool is_serving = !engine_.state() || engine_.state()->weights_version > 0;
        swarm_rates rates;
        rates.max_origin_requests = max_origin_requests;
        rates.max_requests = is_serving ? max_requests : max_requests_idle;
        rates.uplink = options_.peer_link_bytes_per_second * upload_percent / 100;
        rates.downlink = options_.peer_link_bytes_per_second *
                         (is_serving ? download_percent : download_percent_idle) / 100;
        rates.is_origin_used_by_all_regions = true;
        rates.min_stall_timeout = min_stall_timeout;
        rates.chunk_failover_delay = chunk_failover_delay;
        rates.settling_time = settling_time;
        swarm_->set_rates(rates);
    }

    loader_callbacks make_loader_callbacks() {
        loader_callbacks callbacks;
        callbacks.instances = [this] {
            std::vector<std::string> instances;
            for (const auto& process : swarm_->members()) {
                instances.push_back(process.instance);
            }
            return instances;
        };
        callbacks.newest_version = [this] { return fetcher_->newest().version; };
        callbacks.newest_remaining_time = [this] { return fetcher_->newest_remaining_time(); };
        return callbacks;
    }

    shared_frame make_swarm_hello() const {
        wire::helloT hello;
        hello.protocol = wire_protocol_version;
        hello.role = wire::role::sidecar;
        hello.instance = options_.instance;
        hello.incarnation = cluster_.self().incarnation;
        hello.availability_zone = options_.availability_zone;
        hello.service = options_.backend_server.service;
        hello.peer_address = options_.peer_address;
        return make_frame(std::move(hello));
    }

    cluster_observer make_observer() {
        cluster_observer observer;
        observer.on_operator_rows = [this](const std::vector<versioned_row>& changed) {
            handle_operator_rows(changed);
        };
        observer.on_members_changed = [] {};
        observer.on_heartbeat = [this](const connected_member&,
                                       const wire::member_beat& heartbeat) {
            handle_announced_weights(heartbeat);
        };
        observer.on_neighbours_reply = [this](const wire::neighbours_reply& reply) {
            handle_neighbours(reply);
        };
        observer.on_first_event_report = [this](const wire::first_event_report& report) {
            handle_first_event(report);
        };
        return observer;
    }

    void handle_operator_rows(const std::vector<versioned_row>& changed) {
        const auto now = std::chrono::steady_clock::now();
        const bool is_first = !has_operator_rows_;
        has_operator_rows_ = true;
        decode_operator_rows(changed, [&](platform::operator_row row, std::uint64_t) {
            if (row.rules) {
                handle_routing(*row.rules);
            } else if (row.weights) {
                learn_from_table(announced_, row.weights->model,
                                 {row.weights->version, now, is_first});
            }
        });
        update_target(now);
    }

    /// The gateways know how old an announcement is that this process learned of late.
    void handle_announced_weights(const wire::member_beat& heartbeat) {
        const auto now = std::chrono::steady_clock::now();
        bool is_changed = false;
        for_each_announced_weights(
            heartbeat, now, [&](const std::string& model, const announced_version& told) {
                const announcement_change change = learn_from_member(announced_, model, told);
                is_changed = is_changed || change != announcement_change::none;
                if (change != announcement_change::dated) {
                    return;
                }
                log_event(log_level::info, "weights_dated",
                          {{"model", model},
                           {"version", told.version},
                           {"age_ms", elapsed_ms(told.announced_at, now)}});
                const target_weights dated{model, told.version, told.announced_at};
                fetcher_->set_announced_at(dated);
                loader_->set_announced_at(dated);
            });
        if (is_changed) {
            update_target(now);
        }
    }

    void update_target(time_point now) {
        if (model_.empty()) {
            return;
        }
        const auto found = announced_.find(model_);
        if (found == announced_.end() || found->second.empty()) {
            fetcher_->set_target({model_, first_weights_version, now});
        } else {
            const announced_version& newest = found->second.back();
            fetcher_->set_target({model_, newest.version, newest.announced_at});
        }
    }

    void handle_routing(const routing& rules) {
        const auto own = rules.services.find(options_.backend_server.service);
        if (own != rules.services.end() && own->second.has_engine) {
            model_ = own->second.engine.model;
            profile_ = own->second.engine;
            fetcher_->set_shape({profile_.chunks, profile_.chunk_bytes});
        }
        if (const service_config* origin = find_weight_origin(rules)) {
            fetcher_->set_origin(origin->origin_address);
            origin_region_ = region_of(origin->zone);
        }
    }

    std::string region_of(const std::string& zone) const {
        const auto found = options_.node.region_of_zone.find(zone);
        return found == options_.node.region_of_zone.end() ? options_.node.region : found->second;
    }

    /// Asks the gateways of the zone in turn for the list of sidecars of the service.
    void request_members() {
        if (const connected_member* informant = cluster_.next_informant()) {
            cluster_.mesh().request_neighbours(*informant, options_.backend_server.service,
                                               members_fingerprint_);
        }
    }

    void handle_neighbours(const wire::neighbours_reply& reply) {
        if (reply.is_unchanged()) {
            swarm_->set_members(members_, options_.node.region, origin_region_);
            return;
        }
        std::vector<swarm_member> members;
        if (reply.neighbours() != nullptr) {
            for (const auto* neighbour : *reply.neighbours()) {
                // A sidecar without an engine fetches nothing, so it must not be assigned chunks.
                if (!neighbour->is_ready()) {
                    continue;
                }
                members.push_back({std::string(view(neighbour->instance())),
                                   std::string(view(neighbour->peer_address())),
                                   region_of(std::string(view(neighbour->availability_zone()))),
                                   neighbour->is_ready()});
            }
        }
        cluster_.add_gateways(reply);
        members_fingerprint_ = reply.fingerprint();
        members_ = std::move(members);
        swarm_->set_members(members_, options_.node.region, origin_region_);
    }

    pace_profile make_pace_profile() const {
        return {static_cast<double>(profile_.slots), mean_completion_interval_ms(profile_)};
    }

    void observe_pace() {
        engine_sighting seen;
        if (const auto& state = engine_.state()) {
            seen.started_at_ms = state->started_at_ms;
            seen.weights_version = state->weights_version;
            seen.busy = state->running + state->waiting;
            seen.is_loading = state->is_executing_load_order;
            seen.is_reachable = true;
        }
        const auto now = std::chrono::steady_clock::now();
        record_pace(observe_engine(pace_, seen, make_pace_profile(), now), now);
    }

    /// Only gateways know whether the service is balanced by demand, since a sidecar's copy of the
    /// configuration has no routes. They send reports for such services only.
    void handle_first_event(const wire::first_event_report& report) {
        if (view(report.server_address()) != options_.backend_server.address) {
            return;
        }
        is_paced_ = true;
        const auto now = std::chrono::steady_clock::now();
        const first_event event{report.incarnation(), static_cast<double>(report.wait_ms()),
                                static_cast<double>(report.expected_ms()),
                                prefill_ms(profile_, report.prompt_tokens()), report.is_lost()};
        metrics_.count("citronseam_pace_reports_total",
                       {{"outcome", report.is_lost() ? "lost" : "begun"}});
        record_pace(record_first_event(pace_, event, make_pace_profile(), now), now);
        if (has_pace_changed(now)) {
            report_to_gateways();
        }
    }

    /// Growth is not logged: each response may bring it.
    void record_pace(pace_change change, time_point now) {
        if (change == pace_change::none || !is_paced_) {
            return;
        }
        if (is_cut(change) || is_reset(change)) {
            metrics_.count("citronseam_pace_cuts_total", {{"reason", std::string(name(change))}});
        }
        if (change != pace_change::grown) {
            log_event(is_cut(change) ? log_level::warning : log_level::info, "pace_changed",
                      {{"reason", name(change)},
                       {"limit", concurrency_of(pace_)},
                       {"slowdown", slowdown_of(pace_, now)},
                       {"busy", pace_.busy},
                       {"life", engine_.incarnation()}});
        }
    }

    bool has_pace_changed(time_point now) const {
        return is_paced_ && is_considerable_change(reported_concurrency_, concurrency_of(pace_),
                                                   reported_slowdown_, slowdown_of(pace_, now));
    }

    /// Reports to the gateways at regular intervals, and immediately after a large change of load.
    void report_to_gateways() {
        const auto now = std::chrono::steady_clock::now();
        const auto& last_state = engine_.state();
        const std::uint32_t busy = last_state ? last_state->running + last_state->waiting : 0;
        const bool is_loading =
            loader_->is_loading() || (last_state && last_state->is_executing_load_order);
        const bool is_change =
            last_state.has_value() != reported_reachable_ || is_loading != reported_loading_ ||
            busy >= reported_busy_ + significant_load_change ||
            busy + significant_load_change <= reported_busy_ || has_pace_changed(now);
        if (!is_change && now - reported_at_ < report_interval) {
            return;
        }
        const milliseconds remote_interval =
            remote_report_interval(cluster_.mesh().remote_gateway_count());
        // Links between regions are slow, and remote gateways send requests here only when the
        // engines of their own region are full.
        const bool is_sent_to_all = is_loading != reported_loading_ ||
                                    last_state.has_value() != reported_reachable_ ||
                                    now - reported_to_all_at_ >= remote_interval;
        reported_to_all_at_ = is_sent_to_all ? now : reported_to_all_at_;
        reported_at_ = now;
        reported_busy_ = busy;
        reported_loading_ = is_loading;
        reported_reachable_ = last_state.has_value();
        reported_concurrency_ = concurrency_of(pace_);
        reported_slowdown_ = slowdown_of(pace_, now);
        if (is_paced_) {
            metrics_.set("citronseam_pace_limit", {}, reported_concurrency_);
            metrics_.set("citronseam_pace_slowdown", {}, reported_slowdown_);
        }
        wire::member_beatT heartbeat;
        heartbeat.is_ready = engine_.state().has_value();
        heartbeat.operator_version = cluster_.operator_version();
        cluster_.mesh().set_heartbeat(heartbeat);
        heartbeat.engine = std::make_unique<wire::engine_statusT>();
        heartbeat.engine->address = options_.backend_server.address;
        heartbeat.engine->is_reachable = engine_.state().has_value();
        if (is_sent_to_all) {
            heartbeat.engine->lifetime_ms =
                static_cast<std::uint32_t>(report_lifetime(remote_interval).count());
        }
        if (engine_.state()) {
            const platform::engine_state& state = *engine_.state();
            heartbeat.engine->weights_version = state.weights_version;
            heartbeat.engine->incarnation = state.started_at_ms;
            heartbeat.engine->busy = busy;
            if (const auto scheduled = loader_->scheduled_at()) {
                heartbeat.engine->is_load_planned = true;
                heartbeat.engine->load_in_ms =
                    elapsed_ms(std::chrono::steady_clock::now(), *scheduled);
            }
            heartbeat.engine->is_loading = is_loading;
            heartbeat.engine->concurrency = reported_concurrency_;
            heartbeat.engine->slowdown_percent =
                static_cast<std::uint32_t>(std::lround(reported_slowdown_ * 100));
        }
        cluster_.mesh().broadcast(std::move(heartbeat), !is_sent_to_all);
    }

    const settings& options_;
    metrics metrics_;
    io_thread_pool control_;
    http_client http_;
    sidecar_context context_;
    cluster_node cluster_;
    weights_proof_table proofs_;
    engine_monitor engine_;
    std::shared_ptr<chunk_swarm> swarm_;
    std::shared_ptr<weights_loader> loader_;
    std::shared_ptr<weights_fetcher> fetcher_;
    announced_versions announced_;
    bool has_operator_rows_{false};
    std::string model_; ///< model of the sidecar's engine
    engine_profile profile_;
    server_pace pace_;
    bool is_paced_{false}; ///< gateways send reports on first events
    std::uint32_t reported_concurrency_{0};
    double reported_slowdown_{1};
    std::string origin_region_;
    std::vector<swarm_member> members_;    ///< sidecars of the service, as last listed
    std::uint64_t members_fingerprint_{0}; ///< of that list
    time_point reported_to_all_at_;
    time_point reported_at_; ///< time of the last report
    std::uint32_t reported_busy_{0};
    bool reported_loading_{false};
    bool reported_reachable_{false};
    std::unique_ptr<http_server> operator_server_;
};

} // namespace

int run_sidecar(const settings& options) {
    return sidecar(options).run();
}

} // namespace citronseam
