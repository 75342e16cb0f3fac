#include "citronseam/request/server_choice.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<choice_obstacle>, 4> obstacle_names{{
    {choice_obstacle::none, "none"},
    {choice_obstacle::no_server, "no_server"},
    {choice_obstacle::full, "full"},
    {choice_obstacle::failing, "failing"},
}};

/// A server of another region is taken when it answers sooner by this much. Bytes between regions
/// are scarce.
constexpr double far_region_ms = 40;
/// The same for another zone of the own region.
constexpr double far_zone_ms = 10;
/// A server that breaks all its exchanges counts as slower by this much.
constexpr double failure_ms = 1000;
/// A request that outlasts the time until a load counts the engine as slower by this much.
constexpr double load_ms = 300;
/// Each running request slows the others' tokens a little.
constexpr double running_ms = 2;
/// Spread of the random part: processes that see the same report choose differently.
constexpr double random_ms = 10;
/// Weight of the newest exchange in the share of failures: about the last ten count.
constexpr double failure_smoothing = 0.1;
/// Part of the bound of cold servers that is used: requests reach a server at other distances than
/// they left.
constexpr double cold_part = 0.85;
constexpr milliseconds one_second{1000};
/// A refusal says that the server is full for about as long as one of its requests takes to end.
constexpr milliseconds refusal_memory{60};
/// A server that restarted under another identifier leaves its old entry in the list, which looks
/// idle, for up to three of its heartbeats.
constexpr milliseconds replaced_bar{1000};
/// Pause after a broken exchange, doubled for each in a row.
constexpr milliseconds first_bar{100};
constexpr milliseconds longest_bar{3200};
constexpr int failures_until_barred = 2;

enum class candidate_standing : std::uint8_t { usable, unusable, full, failing };

bool is_excluded(const server_state& server, const choice_terms& terms) {
    return std::find(terms.excluded.begin(), terms.excluded.end(), server.entry.id) !=
           terms.excluded.end();
}

bool is_report_fresh(const server_state& server, time_point now) noexcept {
    return server.has_report && now - server.reported_at <= report_lifetime;
}

bool has_right_weights(const server_state& server, const choice_terms& terms) {
    const std::uint64_t held = held_weights(server, terms.now);
    if (terms.needs_weights && held == 0) {
        return false;
    }
    if (terms.exact_weights_version != 0 && held != terms.exact_weights_version) {
        return false;
    }
    return held >= terms.least_weights_version;
}

/// Requests that this process may send to one server within a second, so that all processes
/// together stay within what a cold server bears. The bound holds for warm servers too: they turn
/// cold without warning.
bool is_within_cold_bound(server_state& server, const choice_terms& terms) {
    if (terms.cold_requests_per_second <= 0) {
        return true;
    }
    const double share = cold_part * terms.cold_requests_per_second /
                         static_cast<double>(std::max<std::size_t>(terms.sharers, 1));
    const auto allowed = std::max<std::size_t>(1, static_cast<std::size_t>(share));
    return count_recent(server.sent, terms.now, one_second) < allowed;
}

bool is_wait_too_long(const server_state& server, const choice_terms& terms) noexcept {
    return terms.longest_wait_ms > 0 && expected_wait_ms(server, terms) > terms.longest_wait_ms;
}

candidate_standing standing_of(server_state& server, const choice_terms& terms) {
    const bool is_down = is_report_fresh(server, terms.now) &&
                         (server.report.is_loading || !server.report.is_reachable);
    if (server.entry.is_draining || is_down || is_excluded(server, terms) ||
        !terms.is_zone_allowed(server.entry.zone) || !has_right_weights(server, terms)) {
        return candidate_standing::unusable;
    }
    if (terms.now < server.barred_until) {
        return candidate_standing::failing;
    }
    const bool is_full = terms.now < server.full_until ||
                         estimate_busy(server, terms.now) >= room_of(server, terms) ||
                         is_wait_too_long(server, terms) || !is_within_cold_bound(server, terms);
    return is_full ? candidate_standing::full : candidate_standing::usable;
}

double distance_cost(const server_state& server, const choice_terms& terms) {
    if (server.entry.zone == terms.own_zone) {
        return 0;
    }
    const bool is_far = terms.region_of(server.entry.zone) != terms.own_region;
    return is_far ? far_region_ms : far_zone_ms;
}

/// A request that outlasts the time until a load keeps the engine from loading, nearly idle.
double load_cost(const server_state& server, const choice_terms& terms) {
    if (!is_report_fresh(server, terms.now) || !server.report.load_in) {
        return 0;
    }
    const auto passed = std::chrono::duration_cast<milliseconds>(terms.now - server.reported_at);
    return terms.expected_duration > *server.report.load_in - passed ? load_ms : 0;
}

double uniform(random_source& random) {
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(below(random, steps)) / static_cast<double>(steps);
}

} // namespace

std::string_view name(choice_obstacle obstacle) noexcept {
    return find_name(obstacle_names, obstacle);
}

std::uint64_t held_weights(const server_state& server, time_point now) noexcept {
    return is_report_fresh(server, now) ? server.report.weights_version
                                        : server.entry.weights_version;
}

bool keeps_from_loading(const server_state& server, milliseconds rest, time_point now) noexcept {
    constexpr milliseconds least_rest{400};
    return rest >= least_rest && is_report_fresh(server, now) && server.report.is_reachable &&
           server.report.is_loading;
}

double estimate_busy(const server_state& server, time_point now) noexcept {
    if (!is_report_fresh(server, now)) {
        return server.own_running;
    }
    const double reported = static_cast<double>(server.report.busy) + server.sent_since_report -
                            server.ended_since_report;
    return std::max(reported, static_cast<double>(server.own_running));
}

double room_of(const server_state& server, const choice_terms& terms) noexcept {
    const double room = static_cast<double>(server.entry.slots) + terms.waiting_allowance;
    if (is_report_fresh(server, terms.now) || terms.sharers <= 1) {
        return room;
    }
    // Without a report the others' requests are not seen. Twice the even share, since the others
    // are rarely all busy at once.
    return std::max(2.0, std::ceil(2 * room / static_cast<double>(terms.sharers)));
}

server_choice choose_server(const std::vector<server_state*>& servers, const choice_terms& terms,
                            random_source& random) {
    server_choice choice;
    choice.obstacle = choice_obstacle::no_server;
    double best = 0;
    for (server_state* server : servers) {
        const candidate_standing standing = standing_of(*server, terms);
        if (standing == candidate_standing::full) {
            choice.obstacle = choice_obstacle::full;
        } else if (standing == candidate_standing::failing &&
                   choice.obstacle == choice_obstacle::no_server) {
            choice.obstacle = choice_obstacle::failing;
        }
        if (standing != candidate_standing::usable) {
            continue;
        }
        const double busy = estimate_busy(*server, terms.now);
        // The random part spreads choices that several processes make on the same report.
        const double score = expected_wait_ms(*server, terms) + distance_cost(*server, terms) +
                             load_cost(*server, terms) + failure_ms * server->failure_share +
                             random_ms * uniform(random);
        if (choice.server == nullptr || score < best) {
            choice.server = server;
            choice.busy = busy;
            best = score;
        }
    }
    if (choice.server != nullptr) {
        choice.obstacle = choice_obstacle::none;
    }
    return choice;
}

void take_report(server_state& server, const engine_report& report, time_point now) noexcept {
    server.has_report = true;
    server.report = report;
    server.reported_at = now;
    server.sent_since_report = 0;
    server.ended_since_report = 0;
}

double expected_wait_ms(const server_state& server, const choice_terms& terms) noexcept {
    const double busy = estimate_busy(server, terms.now);
    const double waiting = std::max(0.0, busy + 1 - server.entry.slots);
    return server.unread_ms * terms.senders_alike + waiting * terms.turnover_ms + busy * running_ms;
}

void note_prompt_read(server_state& server, double prompt_ms) noexcept {
    server.unread_ms = std::max(0.0, server.unread_ms - prompt_ms);
}

void note_sent(server_state& server, const choice_terms& terms) {
    ++server.own_running;
    ++server.sent_since_report;
    server.unread_ms += terms.prompt_ms;
    add_event(server.sent, terms.now);
}

void note_ended(server_state& server, exchange_standing standing, time_point now) noexcept {
    server.own_running -= server.own_running > 0 ? 1 : 0;
    ++server.ended_since_report;
    if (standing == exchange_standing::ended) {
        return;
    }
    if (standing == exchange_standing::refused) {
        server.full_until = now + refusal_memory;
        return;
    }
    if (standing == exchange_standing::other) {
        server.barred_until = now + replaced_bar;
        return;
    }
    const bool is_broken = standing == exchange_standing::broken;
    server.failure_share += failure_smoothing * ((is_broken ? 1.0 : 0.0) - server.failure_share);
    if (!is_broken) {
        server.failures_in_a_row = 0;
        return;
    }
    ++server.failures_in_a_row;
    if (server.failures_in_a_row >= failures_until_barred) {
        const int doublings = std::min(server.failures_in_a_row - failures_until_barred, 5);
        server.barred_until = now + std::min(first_bar * (1 << doublings), longest_bar);
    }
}

} // namespace citronseam
