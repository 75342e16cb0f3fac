#include "programs/sidecar/sidecar.h"

#include "citronseam/process/log.h"
#include "platform/decode.h"
#include "programs/daemon/operator_server.h"
#include "programs/daemon/role_runner.h"
#include "programs/node/cluster_node.h"
#include "programs/node/operator_rows.h"
#include "programs/sidecar/engine_monitor.h"
#include "programs/sidecar/weights_fetcher.h"
#include "programs/sidecar/weights_loader.h"

namespace citronseam {
namespace {

constexpr session_timing mesh_timing{milliseconds(500), milliseconds(2000)};
constexpr milliseconds reconcile_interval{50};
/// The list of other sidecars is asked for this often, so that a fetch begins with it at hand.
constexpr milliseconds members_interval{500};
/// A piece waits behind those that the other neighbours asked for; without progress for longer the
/// next sidecar steps in.
constexpr milliseconds shortest_stall{900};
/// A piece that was not seen anywhere for this long is drawn by the next sidecar: several times the
/// time in which the origin sends all pieces once.
constexpr milliseconds chunk_patience{2500};
/// A new process hears of the others within the interval at which it reads the table of members.
constexpr milliseconds settling{500};
/// Pieces asked of the origin at once by one sidecar. Many sidecars draw at the same time, and the
/// fewer pieces share the origin's link the sooner the first ones come and spread.
constexpr std::uint32_t origin_parallel = 1;
/// Pieces asked for at once. On a link that carries a piece in 35 ms more of them would delay the
/// engine's live requests by a third of their latency objective.
constexpr std::uint32_t most_requests = 3;
/// Part of the instance's link that weights may take. The rest is for live requests.
constexpr std::uint64_t weights_percent = 75;
/// More may be sent than is asked for, or requests that meet at one sender would wait there.
constexpr std::uint64_t weights_percent_up = 78;
/// The same for an engine that serves nothing.
constexpr std::uint32_t most_requests_idle = 6;
constexpr std::uint64_t weights_percent_idle = 95;
/// Gateways add what they sent since a report, so they need no more of them while little changes.
constexpr milliseconds tell_interval{200};
constexpr milliseconds tell_far_interval{500};
/// Requests by which the load must change to be told at once.
constexpr std::uint32_t notable_change = 3;
/// Versions of weights begin with this; it holds until the operator names another.
constexpr std::uint64_t first_weights_version = 1;

/// The parts of a sidecar.
class sidecar {
public:
    explicit sidecar(const settings& options)
        : options_(options), control_(1), context_{options_, control_, http_, numbers_},
          links_(options_, control_, http_, numbers_, mesh_timing, make_observer()),
          engine_(context_), swarm_(std::make_shared<chunk_swarm>(
                                 make_swarm_context(), [this] { return make_swarm_hello(); })),
          loader_(std::make_shared<weights_loader>(context_, engine_, make_surroundings())),
          fetcher_(std::make_shared<weights_fetcher>(
              context_, engine_, swarm_, [this](std::shared_ptr<const whole_weights> weights) {
                  loader_->set_whole(std::move(weights));
              })) {}

    int run() {
        return run_role(options_, {[this] { start(); }, [this] { leave(); }, {}});
    }

private:
    void start() {
        operator_server_ = start_operator_server(
            *parse_host_port(options_.operator_address), numbers_,
            {[] { return std::string(); },
             [](const server_request&, const std::shared_ptr<http_responder>& responder) {
                 respond_error(*responder, 404, "unknown path");
             }});
        control_.post([this] {
            set_rates();
            swarm_->on_list([this](const std::string& version, const manifest& list) {
                fetcher_->take_list_of_member(version, list);
            });
            swarm_->start();
            links_.start({});
            engine_.start([this] {
                set_rates();
                tell_gateways();
            });
            repeat(control_, reconcile_interval, [this] {
                fetcher_->reconcile();
                loader_->reconcile();
            });
            repeat(control_, members_interval, [this] { ask_members(); });
        });
        log_event(log_level::info, "started",
                  {{"role", "sidecar"},
                   {"instance", options_.instance},
                   {"zone", options_.availability_zone},
                   {"engine", options_.backend_server.address},
                   {"store", options_.node.store_address}});
    }

    void leave() {
        operator_server_.reset();
        control_.post([this] {
            links_.stop();
            swarm_->stop();
        });
        control_.stop();
    }

    swarm_context make_swarm_context() {
        swarm_context parts{options_.instance,
                            options_.backend_server.service,
                            options_.peer_address,
                            wire::role::sidecar,
                            mesh_timing,
                            options_.weight_memory,
                            control_,
                            control_,
                            numbers_,
                            http_,
                            {},
                            {}};
        parts.make_draw = [this](const manifest&, std::size_t piece) {
            return fetcher_->make_draw(piece);
        };
        return parts;
    }

    /// Weights leave room for live requests while the engine serves any.
    void set_rates() {
        const bool is_serving = !engine_.state() || engine_.state()->weights_version > 0;
        swarm_rates rates;
        rates.origin_parallel = origin_parallel;
        rates.most_requests = is_serving ? most_requests : most_requests_idle;
        rates.uplink = options_.peer_link * weights_percent_up / 100;
        rates.downlink =
            options_.peer_link * (is_serving ? weights_percent : weights_percent_idle) / 100;
        rates.is_drawn_everywhere = true;
        rates.shortest_stall = shortest_stall;
        rates.chunk_patience = chunk_patience;
        rates.settling = settling;
        swarm_->set_rates(rates);
    }

    loader_surroundings make_surroundings() {
        loader_surroundings surroundings;
        surroundings.instances = [this] {
            std::vector<std::string> instances;
            for (const auto& process : swarm_->members()) {
                instances.push_back(process.instance);
            }
            return instances;
        };
        surroundings.newest_version = [this] { return fetcher_->newest().version; };
        surroundings.newest_remaining = [this] { return fetcher_->newest_remaining(); };
        return surroundings;
    }

    shared_frame make_swarm_hello() const {
        wire::helloT hello;
        hello.protocol = wire_protocol_version;
        hello.role = wire::role::sidecar;
        hello.instance = options_.instance;
        hello.incarnation = links_.self().incarnation;
        hello.availability_zone = options_.availability_zone;
        hello.service = options_.backend_server.service;
        hello.peer_address = options_.peer_address;
        return make_frame(std::move(hello));
    }

    node_observer make_observer() {
        node_observer observer;
        observer.on_operator_rows = [this](const std::vector<versioned_row>& changed) {
            take_operator_rows(changed);
        };
        observer.on_members = [] {};
        observer.on_beat = [](const connected_member&, const wire::member_beat&) {};
        observer.on_neighbours = [this](const wire::neighbours_reply& reply) {
            take_neighbours(reply);
        };
        return observer;
    }

    void take_operator_rows(const std::vector<versioned_row>& changed) {
        const auto now = std::chrono::steady_clock::now();
        decode_operator_rows(changed, [this](platform::operator_row row, std::uint64_t) {
            if (row.rules) {
                take_rules(*row.rules);
            } else if (row.weights) {
                named_[row.weights->model] = row.weights->version;
            }
        });
        if (!model_.empty()) {
            const auto named = named_.find(model_);
            const std::uint64_t version =
                named == named_.end() ? first_weights_version : named->second;
            fetcher_->set_wanted({model_, version, now});
        }
    }

    void take_rules(const routing& rules) {
        const auto own = rules.services.find(options_.backend_server.service);
        if (own != rules.services.end() && own->second.has_engine) {
            model_ = own->second.engine.model;
        }
        if (const routed_service* origin = find_origin(rules)) {
            fetcher_->set_origin(origin->origin_address);
            origin_region_ = region_of(origin->zone);
        }
    }

    std::string region_of(const std::string& zone) const {
        const auto found = options_.node.region_of_zone.find(zone);
        return found == options_.node.region_of_zone.end() ? options_.node.region : found->second;
    }

    /// Asks one gateway after the other who the other sidecars of the service are.
    void ask_members() {
        const auto members = links_.mesh().members();
        if (members.empty()) {
            return;
        }
        ++asked_;
        links_.mesh().ask_neighbours(*members[asked_ % members.size()],
                                     options_.backend_server.service);
    }

    void take_neighbours(const wire::neighbours_reply& reply) {
        std::vector<swarm_member> members;
        if (reply.neighbours() != nullptr) {
            for (const auto* neighbour : *reply.neighbours()) {
                // A sidecar without an engine fetches nothing, so no part may be left to it.
                if (!neighbour->is_ready()) {
                    continue;
                }
                members.push_back({std::string(view(neighbour->instance())),
                                   std::string(view(neighbour->peer_address())),
                                   region_of(std::string(view(neighbour->availability_zone()))),
                                   neighbour->is_ready()});
            }
        }
        links_.take_gateways(reply);
        swarm_->set_members(std::move(members), options_.node.region, origin_region_);
    }

    /// Tells the gateways at regular intervals, and at once when the load changed much.
    void tell_gateways() {
        const auto now = std::chrono::steady_clock::now();
        const auto& seen = engine_.state();
        const std::uint32_t busy = seen ? seen->running + seen->waiting : 0;
        const bool is_loading = loader_->is_loading() || (seen && seen->is_executing_order);
        const bool is_change = seen.has_value() != told_reachable_ || is_loading != told_loading_ ||
                               busy >= told_busy_ + notable_change ||
                               busy + notable_change <= told_busy_;
        if (!is_change && now - told_at_ < tell_interval) {
            return;
        }
        // Links between regions are scarce, and far gateways send here only when theirs are full.
        const bool is_for_all = is_loading != told_loading_ ||
                                seen.has_value() != told_reachable_ ||
                                now - told_all_at_ >= tell_far_interval;
        told_all_at_ = is_for_all ? now : told_all_at_;
        told_at_ = now;
        told_busy_ = busy;
        told_loading_ = is_loading;
        told_reachable_ = seen.has_value();
        wire::member_beatT beat;
        beat.is_ready = engine_.state().has_value();
        beat.operator_version = links_.operator_version();
        links_.mesh().set_beat(beat);
        beat.engine = std::make_unique<wire::engine_statusT>();
        beat.engine->address = options_.backend_server.address;
        beat.engine->is_reachable = engine_.state().has_value();
        if (engine_.state()) {
            const platform::engine_state& state = *engine_.state();
            beat.engine->weights_version = state.weights_version;
            beat.engine->busy = busy;
            if (const auto planned = loader_->planned_at()) {
                beat.engine->is_load_planned = true;
                beat.engine->load_in_ms = elapsed_ms(std::chrono::steady_clock::now(), *planned);
            }
            beat.engine->is_loading = is_loading;
        }
        links_.mesh().broadcast(std::move(beat), !is_for_all);
    }

    const settings& options_;
    metrics numbers_;
    io_threads control_;
    http_client http_;
    sidecar_context context_;
    node_links links_;
    engine_watch engine_;
    std::shared_ptr<chunk_swarm> swarm_;
    std::shared_ptr<weights_loader> loader_;
    std::shared_ptr<weights_fetcher> fetcher_;
    std::map<std::string, std::uint64_t> named_; ///< weights by model
    std::string model_;                          ///< of the engine beside this process
    std::string origin_region_;
    std::size_t asked_{0};
    time_point told_all_at_;
    time_point told_at_; ///< what the gateways were told last, and when
    std::uint32_t told_busy_{0};
    bool told_loading_{false};
    bool told_reachable_{false};
    std::unique_ptr<http_server> operator_server_;
};

} // namespace

int run_sidecar(const settings& options) {
    return sidecar(options).run();
}

} // namespace citronseam
