#include "programs/gateway/server_pool.h"

#include <algorithm>

#include "citronseam/process/log.h"
#include "citronseam/request/retry_budget.h"

namespace citronseam {
namespace {

/// Part of the latency objective that a request may spend waiting for a free slot of an engine. The
/// rest is for the prefill and the network round trip.
constexpr double waiting_share = 0.4;
/// Services without engines report no speed; a queue as long as their slots is assumed acceptable.
constexpr std::uint32_t default_waiting_per_slot = 1;
/// A fully loaded engine is slower than its profile says.
constexpr double duration_margin = 1.3;
/// Weight of the newest choice in the moving average of refusals, which covers about the last
/// thirty.
constexpr double refusal_smoothing = 0.03;
/// Longest base delay for refused callers. They return within twice that time, which callers with
/// the usual deadline of 6 s still accept.
constexpr milliseconds max_retry_delay{1000};
/// Requests of high priority may wait where others are refused, so that they are served first.
constexpr double high_priority_wait_factor = 1.5;
constexpr double low_priority_wait_factor = 0.5;

/// Share of the gateways that send to the same engine: most requests go to nearby servers, so about
/// half of the gateways share one.
constexpr double common_sender_share = 0.5;

/// Time for which requests of other gateways are not in a load report yet: sidecars poll their
/// engines every 50 ms and report every 200 ms.
constexpr milliseconds report_delay{250};

/// Time after the start of this process for which entries of engines count only with a report.
/// Entries of engines that were lost with all gateways expire within 4 s; sidecars connect sooner.
constexpr milliseconds confirmation_time{3000};

/// How long the state of a server whose entry is missing is kept. A server that leaves ends sooner.
constexpr std::chrono::minutes unlisted_lifetime{10};

/// @param source who told this process of the limit
void log_limit(const server_state& server, std::string_view source) {
    log_event(log_level::info, "server_limit",
              {{"server", server.entry.id},
               {"named", server.request_limit ? 1 : 0},
               {"requests_per_s", server.request_limit.value_or(0)},
               {"rank", server.sender_rank},
               {"source", source}});
}

/// Logs how many routes and workspaces of a configuration are restricted to regions.
void log_regions(const routing& rules) {
    const auto is_restricted = [](const auto& item) { return !item.allowed_regions.empty(); };
    log_event(log_level::info, "regions_in_force",
              {{"version", rules.version},
               {"routes", std::count_if(rules.routes.begin(), rules.routes.end(), is_restricted)},
               {"workspaces",
                std::count_if(rules.workspaces.begin(), rules.workspaces.end(), is_restricted)}});
}

double wait_factor_of(int rank) {
    if (rank <= 0) {
        return high_priority_wait_factor;
    }
    return rank == 1 ? 1.0 : low_priority_wait_factor;
}

} // namespace

server_pool::server_pool(const settings& options, metrics& metric_registry)
    : options_(options),
      metrics_(metric_registry), retry_bound_{options.node.retry_ratio, options.node.retry_slack,
                                              options.node.retry_window},
      random_(seeded_random_source()) {}

std::string_view server_pool::region_of(std::string_view zone) const {
    const auto found = options_.node.region_of_zone.find(zone);
    return found == options_.node.region_of_zone.end() ? std::string_view{} : found->second;
}

listing_changes server_pool::set_view(std::shared_ptr<const traffic_view> view) {
    const bool is_gateway_change = view_ == nullptr || view_->gateways != view->gateways;
    if (view->routes != nullptr && (view_ == nullptr || view_->routes != view->routes)) {
        log_regions(*view->routes->rules);
    }
    view_ = std::move(view);
    for (auto& [name, service] : services_) {
        service.servers.clear();
    }
    return add_servers(*view_, is_gateway_change);
}

void server_pool::set_broadcast(std::function<void(const shared_frame&)> broadcast) {
    broadcast_ = std::move(broadcast);
}

void server_pool::record_limit(server_state& server, std::optional<double> limit,
                               time_point sent_at, time_point now) {
    if (!apply_request_limit(server, limit, sent_at, now)) {
        return;
    }
    log_limit(server, "answer");
    wire::limit_reportT report;
    report.instance = server.entry.id;
    report.incarnation = server.entry.started_at_ms;
    report.is_named = limit.has_value();
    report.requests_per_s = limit.value_or(0);
    broadcast_(make_frame(std::move(report)));
}

void server_pool::record_leaving(server_state& server) {
    if (citronseam::record_leaving(server)) {
        log_event(log_level::info, "server_leaving", {{"server", server.entry.id}});
    }
}

void server_pool::record_requested_backoff(server_state& server, std::optional<double> delay_s,
                                           time_point now) {
    const bool is_valid = delay_s && *delay_s <= static_cast<double>(max_requested_backoff.count());
    if (!is_valid) {
        log_event(log_level::warning, "server_retry_after_invalid",
                  {{"server", server.entry.id}, {"seconds", delay_s.value_or(0)}});
    }
    if (!delay_s) {
        return;
    }
    apply_requested_backoff(server, *delay_s, now);
    if (is_valid) {
        log_event(log_level::info, "server_backoff",
                  {{"server", server.entry.id}, {"seconds", *delay_s}});
    }
}

void server_pool::apply_limit_report(const std::string& id, std::uint64_t incarnation,
                                     std::optional<double> limit, time_point now) {
    const auto found = by_id_.find(id);
    if (found == by_id_.end() || found->second->entry.started_at_ms != incarnation) {
        return;
    }
    if (apply_request_limit(*found->second, limit, now, now)) {
        log_limit(*found->second, "gateway");
    }
}

listing_changes server_pool::compare_listings(const server_map& listed) const {
    listing_changes changes;
    const auto incarnation_of = [](const auto& item) {
        return lost_server{item.second->entry.id, item.second->entry.started_at_ms};
    };
    const auto is_in = [&](const server_map& servers, const lost_server& server) {
        const auto found = servers.find(server.instance);
        return found != servers.end() && incarnation_of(*found) == server;
    };
    for (const auto& item : by_id_) {
        const server_state& server = *item.second;
        if (!server.entry.is_draining && !server.is_leaving &&
            !is_in(listed, incarnation_of(item))) {
            changes.gone.push_back(incarnation_of(item));
        }
    }
    for (const auto& item : listed) {
        if (!is_in(by_id_, incarnation_of(item))) {
            changes.listed.push_back(incarnation_of(item));
        }
    }
    return changes;
}

listing_changes server_pool::add_servers(const traffic_view& view, bool is_gateway_change) {
    const request_sender self{options_.instance, options_.availability_zone};
    server_map listed;
    for (const auto& entry : view.servers) {
        const auto known = find_incarnation(entry);
        auto server = known != nullptr ? known : std::make_shared<server_state>();
        server->entry = entry;
        if (known == nullptr || is_gateway_change || by_id_.count(entry.id) == 0) {
            server->sender_rank = sender_rank(self, view.gateways, entry.id, entry.zone);
        }
        services_[entry.service].servers.push_back(server);
        listed.emplace(entry.id, std::move(server));
    }
    remember_unlisted(listed, std::chrono::steady_clock::now());
    listing_changes changes = compare_listings(listed);
    by_id_ = std::move(listed);
    return changes;
}

std::shared_ptr<server_state> server_pool::find_incarnation(const listed_server& entry) const {
    const auto is_same = [&entry](const server_state& server) {
        return server.entry.started_at_ms == entry.started_at_ms &&
               server.entry.address == entry.address;
    };
    const auto known = by_id_.find(entry.id);
    if (known != by_id_.end()) {
        return is_same(*known->second) ? known->second : nullptr;
    }
    const auto unlisted = unlisted_.find(entry.id);
    return unlisted != unlisted_.end() && is_same(*unlisted->second.state) ? unlisted->second.state
                                                                           : nullptr;
}

void server_pool::remember_unlisted(const server_map& listed, time_point now) {
    for (const auto& [id, server] : by_id_) {
        if (listed.count(id) == 0 && must_be_remembered(*server, now)) {
            unlisted_[id] = {server, now + unlisted_lifetime};
        }
    }
    for (auto it = unlisted_.begin(); it != unlisted_.end();) {
        const bool is_over = listed.count(it->first) > 0 || now >= it->second.forgotten_at;
        it = is_over ? unlisted_.erase(it) : std::next(it);
    }
}

void server_pool::apply_engine_report(const std::string& address, const engine_report& report,
                                      time_point now) {
    for (const auto& [id, server] : by_id_) {
        if (server->entry.address != address) {
            continue;
        }
        engine_report applied = report;
        if (find_service_by_demand(server->entry.service) == nullptr) {
            applied.concurrency = 0;
            applied.slowdown = 1;
        }
        citronseam::apply_report(*server, applied, now);
    }
}

std::uint32_t server_pool::max_waiting_requests(const service_config& service, const route& rule,
                                                int rank) const {
    const double completion_interval_ms = mean_completion_interval_ms(service.engine);
    if (!service.has_engine || completion_interval_ms <= 0) {
        return default_waiting_per_slot * std::max(1U, service.engine.slots);
    }
    const auto objective = static_cast<double>(rule.latency_objective.count());
    return static_cast<std::uint32_t>(waiting_share * wait_factor_of(rank) * objective /
                                      completion_interval_ms);
}

milliseconds server_pool::retry_delay_after_refusal(const std::string& service,
                                                    milliseconds min_delay) {
    const auto found = services_.find(service);
    const double share = found == services_.end() ? 0 : found->second.refused_share;
    const auto extra_ms = static_cast<double>((max_retry_delay - min_delay).count()) * share;
    return retry_after(min_delay + milliseconds(static_cast<std::int64_t>(extra_ms)), random_);
}

milliseconds server_pool::time_until_backoff_ends(server_query query, time_point now) const {
    const auto& services = view_->routes->rules->services;
    const auto service = services.find(query.service);
    const request_rules rules = rules_in_force(query);
    if (service == services.end() || rules.rule == nullptr) {
        return milliseconds(0);
    }
    query.tried_servers.clear();
    return std::min(max_retry_delay, citronseam::time_until_backoff_ends(
                                         servers_of(query.service),
                                         make_constraints(query, rules, service->second, now)));
}

std::vector<server_state*> server_pool::servers_of(const std::string& service) const {
    std::vector<server_state*> servers;
    const auto found = services_.find(service);
    if (found != services_.end()) {
        for (const auto& server : found->second.servers) {
            servers.push_back(server.get());
        }
    }
    return servers;
}

request_rules server_pool::rules_in_force(const server_query& query) const {
    if (query.routes == view_->routes.get()) {
        return {query.rule, query.workspace};
    }
    return find_rules_for_retry(*view_->routes, query.host, query.path, query.key, query.service,
                                query.workspace != nullptr);
}

choice_constraints server_pool::make_constraints(const server_query& query,
                                                 const request_rules& rules,
                                                 const service_config& service,
                                                 time_point now) const {
    const engine_profile& engine = service.engine;
    const double output = query.output_tokens > 0 ? static_cast<double>(query.output_tokens)
                                                  : engine.mean_output_tokens;
    const auto prompt = static_cast<double>(query.prompt_tokens);
    choice_constraints constraints;
    constraints.now = now;
    constraints.counting_since = counting_since_;
    constraints.own_zone = options_.availability_zone;
    constraints.own_region = options_.node.region;
    constraints.process_count = view_->gateways.count;
    constraints.max_waiting_requests =
        max_waiting_requests(service, *query.rule, priority_of(*query.rule, query.workspace));
    if (service.cold_requests_per_second > 0) {
        constraints.cold_requests_per_second =
            service.cold_requests_per_second * options_.node.cold_rate_factor +
            options_.node.cold_rate_slack;
    }
    constraints.expected_duration =
        milliseconds(static_cast<std::int64_t>(expected_duration_ms(engine, prompt, output)));
    if (service.has_engine) {
        constraints.max_wait_ms = waiting_share *
                                  wait_factor_of(priority_of(*query.rule, query.workspace)) *
                                  static_cast<double>(query.rule->latency_objective.count());
    }
    constraints.completion_interval_ms = mean_completion_interval_ms(engine);
    constraints.prompt_prefill_ms = prefill_ms(engine, prompt);
    constraints.assumed_sender_count =
        std::max(1.0, static_cast<double>(constraints.process_count) * common_sender_share);
    if (service.is_prefill_bound) {
        constraints.expected_arrivals = expected_arrivals(service.name, now);
        constraints.mean_prefill_ms = prefill_ms(engine, engine.mean_prompt_tokens);
        constraints.assumed_sender_count = 1;
        constraints.checks_incarnation = true;
        constraints.needs_report = now - counting_since_ < confirmation_time;
    }
    constraints.needs_weights = service.has_engine;
    constraints.min_weights_version = min_weights_version_to_send(
        *view_, engine.model, options_.node.weights_switch_deadline, now);
    constraints.exact_weights_version = query.required_weights;
    for (const auto& id : query.tried_servers) {
        constraints.excluded.emplace_back(id);
    }
    constraints.region_of = [this](std::string_view zone) { return region_of(zone); };
    constraints.is_zone_allowed = [this, rules](std::string_view zone) {
        return view_->evacuated_zones.count(zone) == 0 &&
               is_region_allowed(*rules.rule, rules.workspace, region_of(zone));
    };
    return constraints;
}

server_selection server_pool::choose(const server_query& query, time_point now) {
    server_selection selection;
    selection.failure_reason = choice_failure::no_server;
    const auto pool = services_.find(query.service);
    const auto& services = view_->routes->rules->services;
    const auto service = services.find(query.service);
    const request_rules rules = rules_in_force(query);
    const auto trust = trust_in_configuration(*view_, options_.node.configuration_due, now);
    if (pool == services_.end() || service == services.end() || rules.rule == nullptr ||
        !may_decide(trust, *view_->routes, rules.rule, rules.workspace)) {
        return selection;
    }
    const choice_constraints constraints = make_constraints(query, rules, service->second, now);
    const server_choice choice = choose_server(servers_of(query.service), constraints, random_);
    if (!query.is_optional) {
        const double refused = choice.server == nullptr ? 1 : 0;
        pool->second.refused_share += refusal_smoothing * (refused - pool->second.refused_share);
    }
    selection.failure_reason = choice.failure_reason;
    selection.assumed_load = choice.busy;
    selection.min_weights_version = constraints.min_weights_version;
    for (const auto& server : pool->second.servers) {
        if (server.get() == choice.server) {
            selection.server = server;
            selection.expected_wait_ms = expected_wait_ms(*server, constraints);
            if (service->second.is_prefill_bound) {
                selection.profile_first_event_ms =
                    profile_wait_ms(*server, constraints) + constraints.prompt_prefill_ms;
            }
            selection.expected_arrivals = constraints.expected_arrivals;
            selection.prompt_prefill_ms = constraints.prompt_prefill_ms;
            selection.held_weights_version = held_weights_version(*server, now);
            record_sent(*server, constraints);
            record_sent_on(query, now);
        }
    }
    return selection;
}

const service_config* server_pool::find_service_by_demand(const std::string& name) const {
    if (view_ == nullptr || view_->routes == nullptr) {
        return nullptr;
    }
    const auto& services = view_->routes->rules->services;
    const auto found = services.find(name);
    return found != services.end() && found->second.is_prefill_bound ? &found->second : nullptr;
}

void server_pool::record_offered(const server_query& query, time_point now) {
    if (find_service_by_demand(query.service) == nullptr) {
        return;
    }
    rank_demand& demand = own_demand_[{query.service, priority_of(*query.rule, query.workspace)}];
    add_to_rate(demand.offered, 1, now);
    const std::string workspace = query.workspace == nullptr ? "" : query.workspace->name;
    add_to_rate(demand.workspaces[workspace].offered,
                static_cast<double>(query.prompt_tokens + query.output_tokens), now);
}

/// Requests that are sent again count once.
void server_pool::record_sent_on(const server_query& query, time_point now) {
    if (!query.tried_servers.empty() || find_service_by_demand(query.service) == nullptr) {
        return;
    }
    rank_demand& demand = own_demand_[{query.service, priority_of(*query.rule, query.workspace)}];
    add_to_rate(demand.sent, 1, now);
    const std::string workspace = query.workspace == nullptr ? "" : query.workspace->name;
    add_to_rate(demand.workspaces[workspace].sent,
                static_cast<double>(query.prompt_tokens + query.output_tokens), now);
}

void server_pool::apply_demand_report(const std::string& instance, const std::string& zone,
                                      std::vector<reported_demand> ranks, time_point now) {
    peer_demands_[instance] = {zone, std::move(ranks), now};
    std::erase_if(peer_demands_, [now](const auto& item) {
        return now - item.second.received_at > max_demand_age;
    });
}

std::vector<reported_demand> server_pool::demand_report(time_point now) const {
    return make_demand_report(own_demand_, false, now);
}

double server_pool::expected_arrivals(const std::string& service, time_point now) const {
    const auto& senders = view_->gateways.senders;
    const auto in_zone =
        std::count_if(senders.begin(), senders.end(), [this](const request_sender& sender) {
            return sender.zone == options_.availability_zone;
        });
    // What this process has sent since a report is known and counts towards the servers' load.
    const double demand =
        demand_of_others(own_demand_, peer_demands_, service, options_.availability_zone,
                         static_cast<std::size_t>(in_zone), now);
    return demand * std::chrono::duration<double>(report_delay).count();
}

milliseconds server_pool::expected_remaining(const route& rule, const std::string& service,
                                             std::uint64_t output_tokens,
                                             milliseconds elapsed) const {
    const auto& services = view_->routes->rules->services;
    const auto found = services.find(service);
    if (found == services.end() || !found->second.has_engine) {
        return rule.timeout;
    }
    const engine_profile& engine = found->second.engine;
    const double output =
        output_tokens > 0 ? static_cast<double>(output_tokens) : engine.mean_output_tokens;
    const auto total =
        milliseconds(static_cast<std::int64_t>(expected_duration_ms(engine, 0, output)));
    return std::max(total - elapsed, milliseconds(0));
}

milliseconds server_pool::max_duration(const route& rule, const std::string& service,
                                       std::uint64_t output_tokens) const {
    const auto& services = view_->routes->rules->services;
    const auto found = services.find(service);
    if (found == services.end() || !found->second.has_engine || output_tokens == 0) {
        return rule.timeout;
    }
    const double duration =
        expected_duration_ms(found->second.engine, 0, static_cast<double>(output_tokens));
    const auto scaled = milliseconds(static_cast<std::int64_t>(duration * duration_margin));
    return std::min(rule.timeout, rule.latency_objective + scaled);
}

bool server_pool::may_start_at(const server_state& server, const std::string& service,
                               time_point now) const {
    const auto& services = view_->routes->rules->services;
    const auto found = services.find(service);
    if (found == services.end() || !found->second.has_engine) {
        return true;
    }
    return held_weights_version(server, now) >=
           min_weights_version_to_begin(*view_, found->second.engine.model,
                                        options_.node.weights_switch_deadline, now);
}

void server_pool::record_request(const std::string& service, time_point now) {
    citronseam::record_request(services_[service].retry_budget, retry_bound_, now);
}

bool server_pool::try_spend_retry(const std::string& service, time_point now) {
    const bool is_granted = citronseam::try_spend_retry(services_[service].retry_budget,
                                                        retry_bound_, view_->gateways.count, now);
    metrics_.count("citronseam_repeats_total",
                   {{"service", service}, {"granted", is_granted ? "yes" : "no"}});
    return is_granted;
}

} // namespace citronseam
