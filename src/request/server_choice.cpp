#include "citronseam/request/server_choice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "citronseam/process/enum_names.h"
#include "citronseam/request/arrival_spread.h"
#include "citronseam/request/shared_quota.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<choice_failure>, 5> failure_names{{
    {choice_failure::none, "none"},
    {choice_failure::no_server, "no_server"},
    {choice_failure::full, "full"},
    {choice_failure::failing, "failing"},
    {choice_failure::backing_off, "backing_off"},
}};

/// Penalty for a server in another region: it is chosen only when it responds sooner by more than
/// this. Bandwidth between regions is scarce.
constexpr double cross_region_penalty_ms = 40;
/// Penalty for a server in another zone of the same region.
constexpr double cross_zone_penalty_ms = 10;
/// Penalty for a server at which all exchanges fail, scaled by its failure rate.
constexpr double failure_penalty_ms = 1000;
/// Penalty for an engine that is due to load weights before the request is expected to end.
constexpr double weight_load_penalty_ms = 300;
/// Each running request slightly slows token generation for the others.
constexpr double slowdown_per_request_ms = 2;
/// Range of the random jitter, so that processes that see the same report choose differently.
constexpr double jitter_ms = 10;
/// Weight of the latest exchange in the failure rate, which covers about the last ten exchanges.
constexpr double failure_smoothing = 0.1;
/// Fraction of the cold-server rate limit that is used: the spacing between requests changes on the
/// way to the server.
constexpr double cold_bound_utilization = 0.85;
/// Window over which the requests to a server that names a limit are counted. A limit is seldom a
/// whole number of requests a second.
constexpr milliseconds limit_window{4000};
/// Time for which a server counts as full after a refusal: about the time until one of its requests
/// ends.
constexpr milliseconds refusal_backoff{60};
/// Ejection time of a replaced server: a server that restarted under another identifier leaves its
/// old, seemingly idle entry in the list for up to three of its heartbeats.
constexpr milliseconds replaced_server_ejection{1000};
/// Ejection time after consecutive failures, doubled for each further failure.
constexpr milliseconds base_ejection{100};
constexpr milliseconds max_ejection{3200};
constexpr int failures_until_ejection = 2;

enum class candidate_status : std::uint8_t { usable, unusable, full, failing, backing_off };

/// Why no server was chosen, from the reason of the server that takes requests again the soonest.
choice_failure combine_failures(choice_failure failure_reason, candidate_status status) noexcept {
    if (status == candidate_status::full) {
        return choice_failure::full;
    }
    if (status == candidate_status::failing && failure_reason != choice_failure::full) {
        return choice_failure::failing;
    }
    if (status == candidate_status::backing_off && failure_reason == choice_failure::no_server) {
        return choice_failure::backing_off;
    }
    return failure_reason;
}

bool is_excluded(const server_state& server, const choice_constraints& constraints) {
    return std::find(constraints.excluded.begin(), constraints.excluded.end(), server.entry.id) !=
           constraints.excluded.end();
}

bool is_report_fresh(const server_state& server, time_point now) noexcept {
    return server.has_report && now - server.reported_at <= server.report.lifetime;
}

bool has_required_weights(const server_state& server, const choice_constraints& constraints) {
    const std::uint64_t held = held_weights_version(server, constraints.now);
    if (constraints.needs_weights && held == 0) {
        return false;
    }
    if (constraints.exact_weights_version != 0 && held != constraints.exact_weights_version) {
        return false;
    }
    return held >= constraints.min_weights_version;
}

/// Whether this process stays within its quota of the requests per second that a cold server can
/// handle. The limit applies to warm servers too, because they can become cold without warning.
bool is_within_cold_bound(server_state& server, const choice_constraints& constraints) {
    if (constraints.cold_requests_per_second <= 0) {
        return true;
    }
    if (constraints.now - constraints.counting_since < cold_window) {
        return false;
    }
    const auto total =
        static_cast<std::size_t>(cold_bound_utilization * constraints.cold_requests_per_second);
    return count_recent(server.recent_sends, constraints.now, cold_window) <
           quota_of(std::max<std::size_t>(1, total), constraints.process_count, server.sender_rank);
}

/// Whether this process stays within its quota of the limit that a server names. At least one
/// request of all processes passes in each window, so that the limit's end is noticed.
bool is_within_request_limit(server_state& server, const choice_constraints& constraints) {
    if (!server.request_limit) {
        return true;
    }
    if (constraints.now - constraints.counting_since < limit_window) {
        return false;
    }
    const double seconds = std::chrono::duration<double>(limit_window).count();
    const auto total =
        std::max<std::size_t>(1, static_cast<std::size_t>(*server.request_limit * seconds));
    return count_recent(server.counted_sends, constraints.now, limit_window) <
           quota_of(total, constraints.process_count, server.sender_rank);
}

/// Whether the engine at the server's address is known to be another process than the entry's.
bool is_entry_outdated(const server_state& server, time_point now) noexcept {
    return is_report_fresh(server, now) && server.report.incarnation != 0 &&
           server.entry.started_at_ms != 0 &&
           server.report.incarnation != server.entry.started_at_ms;
}

bool is_wait_too_long(const server_state& server, const choice_constraints& constraints) noexcept {
    return constraints.max_wait_ms > 0 &&
           expected_wait_ms(server, constraints) > constraints.max_wait_ms;
}

candidate_status status_of(server_state& server, const choice_constraints& constraints) {
    const bool is_unavailable = is_report_fresh(server, constraints.now) &&
                                (server.report.is_loading || !server.report.is_reachable);
    const bool is_unconfirmed =
        constraints.needs_report && !is_report_fresh(server, constraints.now);
    if (server.entry.is_draining || server.is_leaving || is_unavailable || is_unconfirmed ||
        (constraints.checks_incarnation && is_entry_outdated(server, constraints.now)) ||
        is_excluded(server, constraints) || !constraints.is_zone_allowed(server.entry.zone) ||
        !has_required_weights(server, constraints)) {
        return candidate_status::unusable;
    }
    if (constraints.now < server.backoff_until) {
        return candidate_status::backing_off;
    }
    if (constraints.now < server.ejected_until) {
        return candidate_status::failing;
    }
    const bool is_full =
        constraints.now < server.full_until ||
        estimate_request_count(server, constraints.now) >= capacity_of(server, constraints) ||
        is_wait_too_long(server, constraints) || !is_within_cold_bound(server, constraints) ||
        !is_within_request_limit(server, constraints);
    return is_full ? candidate_status::full : candidate_status::usable;
}

double locality_penalty(const server_state& server, const choice_constraints& constraints) {
    if (server.entry.zone == constraints.own_zone) {
        return 0;
    }
    const bool is_other_region = constraints.region_of(server.entry.zone) != constraints.own_region;
    return is_other_region ? cross_region_penalty_ms : cross_zone_penalty_ms;
}

/// A request that runs past the planned load of weights delays the load while the engine is nearly
/// idle.
double weight_load_penalty(const server_state& server, const choice_constraints& constraints) {
    if (!is_report_fresh(server, constraints.now) || !server.report.time_until_load) {
        return 0;
    }
    const auto report_age =
        std::chrono::duration_cast<milliseconds>(constraints.now - server.reported_at);
    return constraints.expected_duration > *server.report.time_until_load - report_age
               ? weight_load_penalty_ms
               : 0;
}

/// @return the cost of the next request at a server, by which servers are compared
double cost_ms(const server_state& server, const choice_constraints& constraints) {
    return expected_wait_ms(server, constraints) + locality_penalty(server, constraints) +
           weight_load_penalty(server, constraints) + failure_penalty_ms * server.failure_rate;
}

/// Chooses among usable servers by the requests that are expected at each of them.
server_state* spread_over(const std::vector<server_state*>& usable,
                          const choice_constraints& constraints, random_source& random) {
    std::vector<spread_candidate> candidates;
    candidates.reserve(usable.size());
    for (const server_state* server : usable) {
        const double busy = estimate_request_count(*server, constraints.now);
        candidates.push_back({cost_ms(*server, constraints),
                              std::max(0.0, server->entry.slots - busy),
                              std::max(1.0, capacity_of(*server, constraints) - busy)});
    }
    const spread_costs costs{constraints.mean_prefill_ms, constraints.completion_interval_ms};
    return usable[choose_by_arrivals(candidates, costs, constraints.expected_arrivals, random)];
}

double random_fraction(random_source& random) {
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(random_below(random, steps)) / static_cast<double>(steps);
}

} // namespace

std::string_view name(choice_failure failure_reason) noexcept {
    return find_name(failure_names, failure_reason);
}

std::uint64_t held_weights_version(const server_state& server, time_point now) noexcept {
    if (is_report_fresh(server, now)) {
        return server.report.weights_version;
    }
    // Both are of this incarnation, which does not go back to older weights.
    const std::uint64_t reported = server.has_report ? server.report.weights_version : 0;
    return std::max(reported, server.entry.weights_version);
}

bool delays_weight_load(const server_state& server, milliseconds remaining_time,
                        time_point now) noexcept {
    constexpr milliseconds min_remaining_time{400};
    return remaining_time >= min_remaining_time && is_report_fresh(server, now) &&
           server.report.is_reachable && server.report.is_loading;
}

double estimate_request_count(const server_state& server, time_point now) noexcept {
    if (!is_report_fresh(server, now)) {
        return server.own_running;
    }
    const double reported = static_cast<double>(server.report.busy) + server.sent_since_report -
                            server.ended_since_report;
    return std::max(reported, static_cast<double>(server.own_running));
}

double capacity_of(const server_state& server, const choice_constraints& constraints) noexcept {
    const double capacity =
        static_cast<double>(server.entry.slots) + constraints.max_waiting_requests;
    const bool is_fresh = is_report_fresh(server, constraints.now);
    if (is_fresh && server.report.concurrency > 0) {
        return std::min(capacity, static_cast<double>(server.report.concurrency));
    }
    if (is_fresh || constraints.process_count <= 1) {
        return capacity;
    }
    // Without a report, the requests of other processes are unknown. Twice an equal share is used,
    // because the others are rarely all busy at once.
    return std::max(2.0, std::ceil(2 * capacity / static_cast<double>(constraints.process_count)));
}

server_choice choose_server(const std::vector<server_state*>& servers,
                            const choice_constraints& constraints, random_source& random) {
    server_choice choice;
    choice.failure_reason = choice_failure::no_server;
    std::vector<server_state*> usable;
    for (server_state* server : servers) {
        const candidate_status status = status_of(*server, constraints);
        choice.failure_reason = combine_failures(choice.failure_reason, status);
        if (status == candidate_status::usable) {
            usable.push_back(server);
        }
    }
    if (usable.empty()) {
        return choice;
    }
    if (constraints.expected_arrivals > 0) {
        choice.server = spread_over(usable, constraints, random);
    } else {
        double best_cost = 0;
        for (server_state* server : usable) {
            // The jitter spreads the choices of several processes that see the same report.
            const double cost = cost_ms(*server, constraints) + jitter_ms * random_fraction(random);
            if (choice.server == nullptr || cost < best_cost) {
                choice.server = server;
                best_cost = cost;
            }
        }
    }
    choice.busy = estimate_request_count(*choice.server, constraints.now);
    choice.failure_reason = choice_failure::none;
    return choice;
}

milliseconds time_until_backoff_ends(const std::vector<server_state*>& servers,
                                     const choice_constraints& constraints) {
    std::optional<time_point> soonest;
    for (server_state* server : servers) {
        const candidate_status status = status_of(*server, constraints);
        if (status == candidate_status::backing_off) {
            soonest = std::min(soonest.value_or(server->backoff_until), server->backoff_until);
        } else if (status != candidate_status::unusable) {
            return milliseconds(0);
        }
    }
    return soonest ? std::chrono::ceil<milliseconds>(*soonest - constraints.now) : milliseconds(0);
}

void apply_report(server_state& server, const engine_report& report, time_point now) noexcept {
    server.has_report = true;
    server.report = report;
    server.reported_at = now;
    server.sent_since_report = 0;
    server.ended_since_report = 0;
}

bool apply_request_limit(server_state& server, std::optional<double> limit, time_point sent_at,
                         time_point now) noexcept {
    if (limit) {
        server.limit_named_at = now;
    } else if (sent_at <= server.limit_named_at) {
        return false;
    }
    const bool is_changed = server.request_limit != limit;
    server.request_limit = limit;
    return is_changed;
}

bool record_leaving(server_state& server) noexcept {
    return !std::exchange(server.is_leaving, true);
}

void apply_requested_backoff(server_state& server, double delay_s, time_point now) noexcept {
    const std::chrono::duration<double> wanted(std::ceil(delay_s * 1000) / 1000);
    const auto backoff = wanted < max_requested_backoff
                             ? std::chrono::duration_cast<time_point::duration>(wanted)
                             : max_requested_backoff;
    server.backoff_until = std::max(server.backoff_until, now + backoff);
}

bool must_be_remembered(const server_state& server, time_point now) noexcept {
    return server.is_leaving || now < server.backoff_until;
}

double profile_wait_ms(const server_state& server, const choice_constraints& constraints) noexcept {
    const double busy = estimate_request_count(server, constraints.now);
    const double waiting = std::max(0.0, busy + 1 - server.entry.slots);
    return server.pending_prefill_ms * constraints.assumed_sender_count +
           waiting * constraints.completion_interval_ms + busy * slowdown_per_request_ms;
}

double expected_wait_ms(const server_state& server,
                        const choice_constraints& constraints) noexcept {
    const double wait = profile_wait_ms(server, constraints);
    if (!is_report_fresh(server, constraints.now) || server.report.slowdown <= 1) {
        return wait;
    }
    // An idle server has no wait that could be scaled, but it is slow with the prompt itself.
    return wait * server.report.slowdown +
           constraints.prompt_prefill_ms * (server.report.slowdown - 1);
}

void record_prefill_end(server_state& server, double prompt_prefill_ms) noexcept {
    server.pending_prefill_ms = std::max(0.0, server.pending_prefill_ms - prompt_prefill_ms);
}

void record_sent(server_state& server, const choice_constraints& constraints) {
    ++server.own_running;
    ++server.sent_since_report;
    server.pending_prefill_ms += constraints.prompt_prefill_ms;
    add_event(server.recent_sends, constraints.now);
    count_recent(server.counted_sends, constraints.now, limit_window);
    add_event(server.counted_sends, constraints.now);
}

void record_ended(server_state& server, exchange_outcome outcome, time_point now) noexcept {
    server.own_running -= server.own_running > 0 ? 1 : 0;
    ++server.ended_since_report;
    if (outcome == exchange_outcome::abandoned) {
        return;
    }
    if (outcome == exchange_outcome::refused) {
        server.full_until = now + refusal_backoff;
        return;
    }
    if (outcome == exchange_outcome::wrong_server) {
        server.ejected_until = now + replaced_server_ejection;
        return;
    }
    const bool has_failed = outcome == exchange_outcome::failed;
    server.failure_rate += failure_smoothing * ((has_failed ? 1.0 : 0.0) - server.failure_rate);
    if (!has_failed) {
        server.consecutive_failures = 0;
        return;
    }
    ++server.consecutive_failures;
    if (server.consecutive_failures >= failures_until_ejection) {
        const int doublings = std::min(server.consecutive_failures - failures_until_ejection, 5);
        server.ejected_until = now + std::min(base_ejection * (1 << doublings), max_ejection);
    }
}

} // namespace citronseam
