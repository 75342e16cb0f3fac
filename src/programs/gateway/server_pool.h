/// @file
/// The traffic thread's state of the backend servers.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_SERVER_POOL_H
#define CITRONSEAM_PROGRAMS_GATEWAY_SERVER_POOL_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronseam/connection/wire_message.h"
#include "citronseam/process/metrics.h"
#include "citronseam/process/settings.h"
#include "citronseam/request/quarantine.h"
#include "citronseam/request/server_choice.h"
#include "citronseam/request/service_demand.h"
#include "citronseam/request/shared_retry_budget.h"
#include "programs/gateway/traffic_view.h"

namespace citronseam {

/// What a request requires of its server.
struct server_query {
    const route* rule{nullptr};                 ///< of the configuration in `routes`
    const workspace_config* workspace{nullptr}; ///< of the same; nullptr: none
    /// The configuration under which the request arrived. If a newer one is in force, the host, the
    /// path and the key find the rules that apply by now.
    const route_table* routes{nullptr};
    std::string host;
    std::string path;
    std::string key;
    std::string service;
    std::vector<std::string> tried_servers; ///< identifiers of servers that the request was sent to
    std::uint64_t prompt_tokens{0};
    std::uint64_t output_tokens{0};    ///< expected, 0: not known
    std::uint64_t required_weights{0}; ///< a resumed stream needs this version; 0: any
    bool is_optional{false}; ///< the request keeps its current server when there is no room
};

/// The pool's choice for a server_query.
struct server_selection {
    std::shared_ptr<server_state> server; ///< nullptr: none
    choice_failure failure_reason{choice_failure::none};
    double assumed_load{0};      ///< running requests that the choice assumed there
    double prompt_prefill_ms{0}; ///< expected prefill time of the prompt
    double expected_wait_ms{0};  ///< time that the choice assumed until the response begins
    double expected_arrivals{0}; ///< requests that the choice assumed of all gateways of the zone
    /// Time to the first event at an engine as fast as its profile says; nullopt: its sidecar need
    /// not be told when the event comes.
    std::optional<double> profile_first_event_ms;
    std::uint64_t min_weights_version{0};  ///< older weights were taken for replaced
    std::uint64_t held_weights_version{0}; ///< of the server, as far as known
};

/// What a new server list changes, besides planned work.
struct listing_changes {
    std::vector<lost_server> gone; ///< listed no more, although they did not say that they drain
    std::vector<lost_server> listed;
};

/// Tracks the load of each server and chooses among them. All functions run on the traffic thread.
class server_pool {
public:
    /// @param options settings; must outlive the pool
    server_pool(const settings& options, metrics& metric_registry);

    /// Replaces the view. Servers that remain listed keep their load state.
    /// @return which servers came or went
    listing_changes set_view(std::shared_ptr<const traffic_view> view);
    /// Applies a report of the sidecar that runs next to an engine.
    /// @param address of the engine
    void apply_engine_report(const std::string& address, const engine_report& report,
                             time_point now);

    /// Sets the function that sends a frame to all other gateways.
    void set_broadcast(std::function<void(const shared_frame&)> broadcast);
    /// Applies the limit that a server names in an answer, and tells the other gateways of a
    /// change.
    /// @param sent_at when the request was sent
    void record_limit(server_state& server, std::optional<double> limit, time_point sent_at,
                      time_point now);
    /// Excludes a server that says in an answer that it leaves. Other gateways learn it from the
    /// server's entry or from an answer of their own: until it ends, it serves what they send.
    void record_leaving(server_state& server);
    /// Applies the time for which a server wants no requests from this gateway. It may take those
    /// of others, so they are not told.
    /// @param delay_s in seconds; nullopt: it names a time that cannot be read
    void record_requested_backoff(server_state& server, std::optional<double> delay_s,
                                  time_point now);
    /// Applies the limit of a server that another gateway reported.
    void apply_limit_report(const std::string& id, std::uint64_t incarnation,
                            std::optional<double> limit, time_point now);

    /// Counts a caller's request towards the demand for its service, where that is balanced by
    /// demand.
    void record_offered(const server_query& query, time_point now);
    /// Applies the demand that another gateway reports.
    void apply_demand_report(const std::string& instance, const std::string& zone,
                             std::vector<reported_demand> ranks, time_point now);
    /// @return what the other gateways of the zone are told
    std::vector<reported_demand> demand_report(time_point now) const;

    /// Chooses a server and counts the request towards its load.
    server_selection choose(const server_query& query, time_point now);

    /// @return whether a request that waits at a server may still start there; false when newer
    /// weights have replaced the server's by now
    bool may_start_at(const server_state& server, const std::string& service, time_point now) const;

    /// @return expected remaining time of a request
    /// @param elapsed time since the request was sent
    /// @param output_tokens expected, 0: not known
    milliseconds expected_remaining(const route& rule, const std::string& service,
                                    std::uint64_t output_tokens, milliseconds elapsed) const;

    /// @return estimated upper bound on the time that a request of a route takes
    /// @param output_tokens that a stream may have, 0: not known
    milliseconds max_duration(const route& rule, const std::string& service,
                              std::uint64_t output_tokens) const;

    /// Counts a caller's request for a service towards the retry budget.
    void record_request(const std::string& service, time_point now);
    /// Takes one retry from the budget.
    /// @return false when this process's share is used up
    bool try_spend_retry(const std::string& service, time_point now);

    /// @return since when requests count towards the limits of servers. May be called from any
    /// thread.
    time_point counting_since() const noexcept { return counting_since_; }
    /// @return the current view, nullptr until the first was set
    const std::shared_ptr<const traffic_view>& view() const noexcept { return view_; }
    /// @return random generator of the traffic thread
    random_source& random() noexcept { return random_; }
    /// @return delay after which a caller that is refused for lack of room should retry: short
    /// while few are refused, longer and more spread out while many are
    /// @param min_delay used while none was refused lately
    milliseconds retry_delay_after_refusal(const std::string& service, milliseconds min_delay);
    /// @return time until a new request may be sent, zero unless all its servers want none; at most
    /// the longest delay that callers get
    milliseconds time_until_backoff_ends(server_query query, time_point now) const;

private:
    using server_map = std::map<std::string, std::shared_ptr<server_state>, std::less<>>;

    struct service_servers {
        std::vector<std::shared_ptr<server_state>> servers;
        shared_retry_budget retry_budget;
        double refused_share{0}; ///< moving average over the latest choices
    };

    /// State of a server whose entry is missing. Entries expire while the store is unavailable and
    /// come back after it.
    struct unlisted_server {
        std::shared_ptr<server_state> state;
        time_point forgotten_at;
    };

    listing_changes add_servers(const traffic_view& view, bool is_gateway_change);
    /// @return what changes when the listed servers are replaced
    listing_changes compare_listings(const server_map& listed) const;
    /// @return state of the same incarnation of a server, nullptr if none is known
    std::shared_ptr<server_state> find_incarnation(const listed_server& entry) const;
    /// Updates the unlisted servers before the listed ones are replaced.
    void remember_unlisted(const server_map& listed, time_point now);
    /// @return the listed servers of a service
    std::vector<server_state*> servers_of(const std::string& service) const;
    std::string_view region_of(std::string_view zone) const;
    request_rules rules_in_force(const server_query& query) const;
    choice_constraints make_constraints(const server_query& query, const request_rules& rules,
                                        const service_config& service, time_point now) const;
    std::uint32_t max_waiting_requests(const service_config& service, const route& rule,
                                       int rank) const;
    /// @return the service if it is balanced by demand, else nullptr
    const service_config* find_service_by_demand(const std::string& name) const;
    void record_sent_on(const server_query& query, time_point now);
    double expected_arrivals(const std::string& service, time_point now) const;

    const settings& options_;
    metrics& metrics_;
    const time_point counting_since_{std::chrono::steady_clock::now()}; ///< its start
    retry_bound retry_bound_;
    random_source random_;
    std::shared_ptr<const traffic_view> view_;
    server_map by_id_;
    std::map<std::string, unlisted_server, std::less<>> unlisted_;
    std::map<std::string, service_servers, std::less<>> services_;
    std::function<void(const shared_frame&)> broadcast_;
    own_demand own_demand_;
    peer_demands peer_demands_;
};

} // namespace citronseam

#endif
