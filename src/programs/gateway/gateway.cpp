#include "programs/gateway/gateway.h"

#include <atomic>
#include <list>
#include <thread>

#include "citronseam/process/log.h"
#include "platform/directory.h"
#include "programs/daemon/operator_server.h"
#include "programs/daemon/role_runner.h"
#include "programs/gateway/gateway_exchange.h"
#include "programs/gateway/traffic_view_builder.h"
#include "programs/node/cluster_node.h"

namespace citronseam {
namespace {

/// Between gateways: a lost one is no longer named within the silence timeout.
constexpr session_timing mesh_timing{milliseconds(500), milliseconds(2000)};
/// The list of servers changes with every heartbeat of a server, so a feed would answer all the
/// time. Read this often, a server that leaves is known well within the bound on sending to it.
constexpr milliseconds servers_interval{400};
/// The same where another gateway reads for the zone: a safeguard.
constexpr milliseconds servers_interval_of_others{5000};
constexpr milliseconds reader_check_interval{200};
/// Granularity of time limits on requests.
constexpr milliseconds sweep_interval{50};
/// Lifetime of an answer of the directory. Some callers keep it three times as long, and a process
/// that leaves must go on serving until then.
constexpr std::chrono::seconds answer_lifetime{2};
constexpr int lifetimes_kept = 3;
/// Time before the end of the grace period at which a leaving process ends, so that it is not
/// killed in the middle of an answer.
constexpr milliseconds grace_margin{1000};
constexpr milliseconds leave_check_interval{50};
/// Rows of the list of servers are asked of another process when the own read is this old.
constexpr milliseconds stale_list{1500};

/// The parts of a gateway and what passes between them.
class gateway {
public:
    explicit gateway(const settings& options)
        : options_(options), control_(1),
          pool_(options, numbers_), context_{options_, control_, traffic_, numbers_, pool_},
          links_(options_, control_, traffic_, numbers_, mesh_timing, make_observer()),
          server_rows_(control_, links_.store(), std::string(platform::servers_table),
                       follow_mode::poll, servers_interval),
          beliefs_(options.node.weights_due - options.node.contact),
          random_(seeded_random_source()) {}

    int run() {
        return run_role(options_, {[this] { start(); }, [this] { leave(); }, {}});
    }

private:
    void start() {
        open_servers();
        control_.post([this] {
            links_.start({&server_rows_});
            server_rows_.start(
                [this](const std::vector<versioned_row>& changed) { take_server_rows(changed); });
            repeat(control_, reader_check_interval, [this] { choose_interval(); });
        });
        sweep();
        log_event(log_level::info, "started",
                  {{"role", "gateway"},
                   {"instance", options_.instance},
                   {"zone", options_.availability_zone},
                   {"http", options_.http_address},
                   {"store", options_.node.store_address}});
    }

    void take_server_rows(const std::vector<versioned_row>& changed) {
        const bool is_news = beliefs_.take_server_rows(changed);
        update_beat();
        if (!is_news) {
            return;
        }
        publish();
        if (is_reader_) {
            links_.share_rows(process_role::gateway, server_rows_.table(), changed,
                              server_rows_.rows().version);
        }
    }

    /// One gateway of each zone reads the list of servers often; it sends the others what changed.
    void choose_interval() {
        const bool is_reader = links_.is_zone_reader();
        if (is_reader != is_reader_) {
            log_event(log_level::info, is_reader ? "reads_for_zone" : "leaves_reading",
                      {{"zone", options_.availability_zone}});
        }
        is_reader_ = is_reader;
        server_rows_.set_interval(is_reader ? servers_interval : servers_interval_of_others);
    }

    void open_servers() {
        server_options front;
        front.address = *parse_host_port(options_.http_address);
        front.threads = 1;
        front_ = std::make_unique<http_server>(
            front, [this](server_request request, std::shared_ptr<http_responder> responder) {
                handle_caller(std::move(request), std::move(responder));
            });
        server_options questions;
        questions.threads = 1;
        questions.address = *parse_host_port(options_.node.readiness_address);
        readiness_ = std::make_unique<http_server>(
            questions, [this](const server_request& request,
                              const std::shared_ptr<http_responder>& responder) {
                const bool is_known = platform::is_readiness_question(request);
                const int status = !is_known ? 404 : is_ready_ ? 200 : 503;
                responder->respond(status, {{"Content-Type", "text/plain"}}, "");
            });
        questions.address = *parse_host_port(options_.node.directory_address);
        directory_ = std::make_unique<http_server>(
            questions, [this](const server_request& request,
                              const std::shared_ptr<http_responder>& responder) {
                control_.post([this, request, responder] { handle_question(request, *responder); });
            });
        operator_server_ = start_operator_server(
            *parse_host_port(options_.operator_address), numbers_,
            {[this] { return std::string(is_ready_ ? "" : "beliefs are not complete"); },
             [](const server_request&, const std::shared_ptr<http_responder>& responder) {
                 respond_error(*responder, 404, "unknown path");
             }});
    }

    void handle_caller(server_request request, std::shared_ptr<http_responder> responder) {
        auto current = std::make_shared<gateway_exchange>(
            context_, std::move(request), std::move(responder), std::chrono::steady_clock::now());
        traffic_.post([this, current] {
            exchanges_.push_back(current);
            current->start();
        });
    }

    /// Ends requests that took too long, and forgets those that ended. Traffic thread.
    void sweep() {
        traffic_.post_after(sweep_interval, [this] {
            const auto now = std::chrono::steady_clock::now();
            for (auto entry = exchanges_.begin(); entry != exchanges_.end();) {
                const auto current = entry->lock();
                if (current == nullptr || current->is_done()) {
                    entry = exchanges_.erase(entry);
                    continue;
                }
                current->check_time(now);
                ++entry;
            }
            sweep();
        });
    }

    void handle_question(const server_request& request, http_responder& responder) {
        const auto question = platform::read_address_question(request);
        if (!question) {
            respond_error(responder, 404, "unknown path");
            return;
        }
        std::vector<reachable_gateway> gateways;
        if (is_ready_) {
            gateways.push_back(
                {options_.http_address, options_.availability_zone, options_.node.region});
        }
        for (const connected_member* connected : links_.mesh().members()) {
            const member& process = connected->process;
            if (process.role == process_role::gateway && connected->is_ready) {
                gateways.push_back({process.http_address, process.zone, process.region});
            }
        }
        const auto addresses = choose_addresses(gateways, question->zone, question->region,
                                                platform::most_addresses, random_);
        if (addresses.empty()) {
            respond_error(responder, 503, "no gateway is ready");
            return;
        }
        respond_json(responder, 200, platform::write_addresses(addresses, answer_lifetime));
    }

    node_observer make_observer() {
        node_observer observer;
        observer.on_operator_rows = [this](const std::vector<versioned_row>& changed) {
            beliefs_.take_operator_rows(changed, std::chrono::steady_clock::now());
            update_beat();
            publish();
        };
        observer.on_members = [this] {
            if (beliefs_.set_gateways(links_.known_gateways())) {
                publish();
            }
        };
        observer.on_beat = [this](const connected_member& from, const wire::member_beat& beat) {
            take_beat(from, beat);
        };
        return observer;
    }

    void take_beat(const connected_member& from, const wire::member_beat& beat) {
        if (const auto* engine = beat.engine()) {
            engine_report report{engine->busy(), engine->weights_version(), engine->is_loading(),
                                 engine->is_reachable(), std::nullopt};
            if (engine->is_load_planned()) {
                report.load_in = milliseconds(engine->load_in_ms());
            }
            traffic_.post([this, report, address = std::string(view(engine->address()))] {
                pool_.take_report(address, report, std::chrono::steady_clock::now());
            });
        }
        const auto now = std::chrono::steady_clock::now();
        const bool is_behind = from.servers_version > server_rows_.rows().version &&
                               now - server_rows_.read_at() > stale_list &&
                               now - asked_servers_at_ > stale_list;
        if (is_behind) {
            asked_servers_at_ = now;
            links_.mesh().ask_rows(from, server_rows_.table(), 0);
        }
    }

    /// Hands the present beliefs to the traffic thread. Control thread.
    void publish() {
        const auto view = beliefs_.publish();
        if (front_ != nullptr && view->routes != nullptr) {
            front_->set_limits(view->routes->rules->limits);
        }
        traffic_.post([this, view] { pool_.take_view(view); });
        const bool is_ready = beliefs_.is_complete() && !is_leaving_;
        if (is_ready != is_ready_) {
            is_ready_ = is_ready;
            log_event(log_level::info, is_ready ? "ready" : "not_ready",
                      {{"configuration", beliefs_.configuration_version()}});
            links_.mesh().broadcast(update_beat(), false);
        }
    }

    wire::member_beatT update_beat() {
        wire::member_beatT beat;
        beat.is_ready = is_ready_;
        beat.operator_version = links_.operator_version();
        beat.servers_version = server_rows_.rows().version;
        links_.mesh().set_beat(beat);
        return beat;
    }

    /// Says that it leaves, serves callers that have not heard of it yet, and ends.
    void leave() {
        const auto began = std::chrono::steady_clock::now();
        const milliseconds latest = options_.node.grace_period - grace_margin;
        control_.post([this, leaves_at = began + latest] {
            is_leaving_ = true;
            beliefs_.set_leaving(leaves_at);
            publish();
        });
        const milliseconds linger = std::min<milliseconds>(
            latest, std::chrono::duration_cast<milliseconds>(answer_lifetime) * lifetimes_kept);
        while (true) {
            const auto waited = std::chrono::steady_clock::now() - began;
            if (waited >= latest || (waited >= linger && context_.running == 0)) {
                break;
            }
            std::this_thread::sleep_for(leave_check_interval);
        }
        front_.reset();
        readiness_.reset();
        directory_.reset();
        operator_server_.reset();
        control_.stop();
    }

    const settings& options_;
    metrics numbers_;
    io_threads control_;
    server_pool pool_;
    gateway_context context_;
    node_links links_;
    table_follower server_rows_;
    belief_keeper beliefs_;
    random_source random_; ///< control thread only
    time_point asked_servers_at_;
    bool is_reader_{true}; ///< control thread only
    std::atomic<bool> is_ready_{false};
    bool is_leaving_{false};                               ///< control thread only
    std::list<std::weak_ptr<gateway_exchange>> exchanges_; ///< traffic thread only
    http_client traffic_;                                  ///< its exchanges hold what stands above
    std::unique_ptr<http_server> front_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> directory_;
    std::unique_ptr<http_server> operator_server_;
};

} // namespace

int run_gateway(const settings& options) {
    return gateway(options).run();
}

} // namespace citronseam
