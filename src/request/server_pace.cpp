#include "citronseam/request/server_pace.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<pace_change>, 8> change_names{{
    {pace_change::none, "none"},
    {pace_change::grown, "grown"},
    {pace_change::lifted, "lifted"},
    {pace_change::late, "late"},
    {pace_change::lost, "lost"},
    {pace_change::started, "started"},
    {pace_change::loaded, "loaded"},
    {pace_change::recovered, "recovered"},
}};

/// A first event is late if it took this many times as long as explained. The noise of a healthy
/// engine is a factor of 2.5.
constexpr double late_factor = 3;
/// Less delay than this is harmless: a quarter of the shortest latency objective.
constexpr double min_delay_ms = 100;
/// Network, polling of the senders' event loops and one decode step.
constexpr double overhead_ms = 30;
/// The limit is cut if as many of the latest reports are late or lost.
constexpr int cut_verdicts = 2;
constexpr unsigned verdict_mask = 0xF; ///< of the latest four reports
/// Longest time from a first event to the arrival of its report.
constexpr milliseconds max_report_delay{100};
/// Requests that may wait at an engine, as a part of its slots; gateways allow fewer.
constexpr double waiting_share = 0.5;
/// Limit from which an engine of unknown slots has none.
constexpr double default_lifting_limit = 32;
/// Weight of the newest report in the slowdown, which covers about the last five.
constexpr double slowdown_smoothing = 0.2;
constexpr double max_slowdown = 10;
/// A lower average is the noise of a healthy engine.
constexpr double min_slowdown = 2;
/// Time without reports after which the slowdown decays, and the time constant of that. An engine
/// that is slow with every request reports several times in it.
constexpr double slowdown_decay_s = 1;
/// Prompts that are remembered: more than an engine prefills during the longest wait that counts.
constexpr std::size_t max_finished = 64;
/// Relative change of a value that is told at once.
constexpr double considerable_change = 0.25;

double lifting_limit(const pace_profile& profile) noexcept {
    return profile.slots > 0 ? profile.slots * (1 + waiting_share) : default_lifting_limit;
}

bool is_full(const server_pace& pace, const pace_profile& profile) noexcept {
    return profile.slots > 0 && pace.busy + 1 >= profile.slots;
}

/// @return the moving average at `now`
double decayed_slowdown(const server_pace& pace, time_point now) noexcept {
    const double silence_s = std::chrono::duration<double>(now - pace.reported_at).count();
    const double decay_s = std::max(0.0, silence_s - slowdown_decay_s);
    return 1 + (pace.slowdown - 1) * std::exp(-decay_s / slowdown_decay_s);
}

void reset(server_pace& pace, double limit, time_point now) {
    pace.limit = limit;
    pace.slowdown = 1;
    pace.reset_at = now;
    pace.cut_at = {};
    pace.has_reports = false;
    pace.reported_at = now;
    pace.verdicts = 0;
    pace.finished.clear();
}

/// Raises the limit of a limited engine.
pace_change grow_to(server_pace& pace, double limit, const pace_profile& profile) noexcept {
    if (pace.limit <= 0) {
        return pace_change::none;
    }
    const bool is_lifted = limit > lifting_limit(profile);
    pace.limit = is_lifted ? 0 : limit;
    return is_lifted ? pace_change::lifted : pace_change::grown;
}

pace_change reset_reason(const server_pace& pace, const engine_sighting& seen, time_point now) {
    if (!pace.is_seen || seen.started_at_ms != pace.started_at_ms) {
        return pace_change::started;
    }
    if (!pace.is_reachable || now - pace.seen_at > max_engine_silence) {
        return pace_change::recovered;
    }
    if (seen.is_loading != pace.is_loading || seen.weights_version != pace.weights_version) {
        return pace_change::loaded;
    }
    return pace_change::none;
}

/// @return the time to a first event that the prompts before it explain. Those are known from their
/// own first events, which came while the request waited.
double explained_ms(const server_pace& pace, const first_event& event, const pace_profile& profile,
                    time_point sent_at) {
    // With all slots in use a request also waits for another one to end.
    const double slot_wait_ms = is_full(pace, profile) ? profile.completion_interval_ms : 0;
    double total = event.prefill_ms + slot_wait_ms;
    for (const server_pace::finished_prompt& prompt : pace.finished) {
        if (prompt.at > sent_at) {
            total += std::max(prompt.prefill_ms, slot_wait_ms);
        }
    }
    return std::max(event.expected_ms, total) + overhead_ms;
}

pace_change cut(server_pace& pace, pace_change reason, const pace_profile& profile,
                time_point now) noexcept {
    // An engine without a limit has as many requests as it is busy with.
    const double base =
        pace.limit > 0 ? pace.limit : std::min<double>(lifting_limit(profile), pace.busy);
    const double before = pace.limit;
    pace.limit = std::max(min_concurrency, std::floor(base / 2));
    pace.cut_at = now;
    pace.verdicts = 0;
    return pace.limit == before ? pace_change::none : reason;
}

} // namespace

std::string_view name(pace_change change) noexcept {
    return find_name(change_names, change);
}

bool is_cut(pace_change change) noexcept {
    return change == pace_change::late || change == pace_change::lost;
}

bool is_reset(pace_change change) noexcept {
    return change == pace_change::started || change == pace_change::loaded ||
           change == pace_change::recovered;
}

pace_change observe_engine(server_pace& pace, const engine_sighting& seen,
                           const pace_profile& profile, time_point now) {
    if (!seen.is_reachable) {
        pace.is_reachable = false;
        return pace_change::none;
    }
    const pace_change reason = reset_reason(pace, seen, now);
    const bool is_first = !pace.is_seen;
    pace.is_seen = true;
    pace.is_reachable = true;
    pace.is_loading = seen.is_loading;
    pace.started_at_ms = seen.started_at_ms;
    pace.weights_version = seen.weights_version;
    pace.busy = seen.busy;
    pace.seen_at = now;
    if (reason != pace_change::none) {
        // When the process beside a running engine starts, the engine serves what it has already.
        reset(pace, std::max<double>(initial_concurrency, is_first ? seen.busy : 0), now);
        return reason;
    }
    if (pace.limit > 0 && !pace.is_loading && now - pace.reported_at >= silent_growth_interval) {
        // Nobody sends, or nobody reports: either way nothing shows that the engine is slow. It may
        // be if its requests take all that the limit allows although responses are reported.
        const bool is_used_up = pace.has_reports && pace.busy + 1 > pace.limit;
        pace.slowdown = decayed_slowdown(pace, now);
        pace.reported_at = now;
        return grow_to(pace, is_used_up ? pace.limit + 1 : pace.limit * 2, profile);
    }
    return pace_change::none;
}

pace_change record_first_event(server_pace& pace, const first_event& event,
                               const pace_profile& profile, time_point now) {
    const bool is_other_incarnation = event.started_at_ms != 0 && pace.started_at_ms != 0 &&
                                      event.started_at_ms != pace.started_at_ms;
    const auto wait = std::chrono::duration_cast<time_point::duration>(
        std::chrono::duration<double, std::milli>(event.wait_ms));
    const time_point sent_at = now - wait;
    if (!pace.is_seen || is_other_incarnation) {
        return pace_change::none;
    }
    const double explained = explained_ms(pace, event, profile, sent_at);
    if (!event.is_lost) {
        pace.finished.push_back({now, event.prefill_ms});
        if (pace.finished.size() > max_finished) {
            pace.finished.pop_front();
        }
    }
    const bool is_late =
        event.wait_ms > late_factor * explained && event.wait_ms > explained + min_delay_ms;
    const bool is_bad = event.is_lost || is_late;
    if (sent_at < pace.reset_at) {
        return pace_change::none;
    }
    pace.has_reports = true;
    pace.slowdown = decayed_slowdown(pace, now);
    pace.reported_at = now;
    if (!event.is_lost) {
        const double ratio = std::min(max_slowdown, event.wait_ms / explained);
        pace.slowdown += slowdown_smoothing * (ratio - pace.slowdown);
    }
    // A report that took long makes its request look younger, and must not cut the limit twice.
    if (sent_at < pace.cut_at + (is_bad ? max_report_delay : milliseconds(0))) {
        return pace_change::none;
    }
    pace.verdicts =
        static_cast<std::uint8_t>(((pace.verdicts << 1U) | (is_bad ? 1U : 0U)) & verdict_mask);
    if (!is_bad) {
        return grow_to(pace, pace.limit + 1, profile);
    }
    if (std::popcount(pace.verdicts) >= cut_verdicts) {
        return cut(pace, event.is_lost ? pace_change::lost : pace_change::late, profile, now);
    }
    return pace_change::none;
}

std::uint32_t concurrency_of(const server_pace& pace) noexcept {
    return static_cast<std::uint32_t>(pace.limit);
}

double slowdown_of(const server_pace& pace, time_point now) noexcept {
    const double average = decayed_slowdown(pace, now);
    return average < min_slowdown ? 1 : average;
}

bool is_considerable_change(std::uint32_t reported_concurrency, std::uint32_t concurrency,
                            double reported_slowdown, double slowdown) noexcept {
    const auto differs = [](double before, double after) {
        return std::abs(after - before) > considerable_change * before;
    };
    const bool is_limit_changed = (reported_concurrency == 0) != (concurrency == 0) ||
                                  differs(reported_concurrency, concurrency);
    return is_limit_changed || differs(reported_slowdown, slowdown);
}

} // namespace citronseam
