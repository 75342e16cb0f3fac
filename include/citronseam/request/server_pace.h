/// @file
/// Finds how many requests a model engine may have at once after it has started or recovered, and
/// how much slower than its profile it responds.
///
/// The process beside the engine decides from the reports of all senders on first events. Performs
/// no I/O and has no clock of its own.
#ifndef CITRONSEAM_REQUEST_SERVER_PACE_H
#define CITRONSEAM_REQUEST_SERVER_PACE_H

#include <cstdint>
#include <deque>
#include <string_view>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Limit after a start or a recovery. While two prompts keep the prefill of the engine busy, the
/// first event of a third one is on its way to the sidecar and the new limit to the gateways. At an
/// engine that turns out to be five times slower, one response of three is within 400 ms.
constexpr double initial_concurrency = 3;
/// Lowest limit. A single request would leave the prefill idle until its first event is reported.
constexpr double min_concurrency = 2;
/// An engine that was not seen for longer counts as recovered: load reports expire after that time.
constexpr milliseconds max_engine_silence{1000};
/// Without reports for this long the limit doubles. Longer than a gateway waits for a silent
/// server, so that the losses at a stalled engine are reported first.
constexpr milliseconds silent_growth_interval{1500};

/// What the configuration says of an engine.
struct pace_profile {
    double slots{0};                  ///< requests that it processes at once
    double completion_interval_ms{0}; ///< mean time between completions with all slots in use
};

/// State of the engine as polled.
struct engine_sighting {
    std::uint64_t started_at_ms{0}; ///< Unix time of its start; 0: not known
    std::uint64_t weights_version{0};
    std::uint32_t busy{0}; ///< running and waiting requests
    bool is_loading{false};
    bool is_reachable{false};
};

/// A request reached its first event, or was lost before it.
struct first_event {
    std::uint64_t started_at_ms{0}; ///< Unix time of the engine's start, as known to the sender
    double wait_ms{0};              ///< from sending to the first event or the loss
    double expected_ms{0};          ///< as the sender expected, without the measured slowdown
    double prefill_ms{0};           ///< of the prompt according to the profile
    bool is_lost{false};
};

/// What changed the limit.
enum class pace_change : std::uint8_t {
    none,
    grown,    ///< a first event came in time, or none was reported for a while
    lifted,   ///< the engine may have as many requests as usual
    late,     ///< cut: first events were late
    lost,     ///< cut: requests were lost
    started,  ///< set low: the engine is a new process, or is seen for the first time
    loaded,   ///< set low: the engine loads or has loaded weights
    recovered ///< set low: the engine was unreachable or stood still
};
/// @return the name of a change, for logs and metrics
std::string_view name(pace_change change) noexcept;
/// @return whether late or lost responses lowered the limit
bool is_cut(pace_change change) noexcept;
/// @return whether the limit was set low for an engine about which nothing is known
bool is_reset(pace_change change) noexcept;

/// Pace of one engine.
struct server_pace {
    /// Prefill of a prompt whose first event was reported.
    struct finished_prompt {
        time_point at;
        double prefill_ms{0};
    };

    double limit{initial_concurrency}; ///< of requests that run or wait; 0: lifted
    double slowdown{1}; ///< moving average of measured over explained time, at `reported_at`
    bool is_seen{false};
    bool is_reachable{false};
    bool is_loading{false};
    std::uint64_t started_at_ms{0};
    std::uint64_t weights_version{0};
    std::uint32_t busy{0};
    time_point seen_at;
    time_point reset_at;      ///< requests sent before show nothing of the present state
    time_point cut_at;        ///< requests sent before show nothing of the present limit
    bool has_reports{false};  ///< since the reset
    time_point reported_at;   ///< of the last valid report, or of the last growth without one
    std::uint8_t verdicts{0}; ///< of the latest reports, newest in the lowest bit; 1: late or lost
    std::deque<finished_prompt> finished;
};

/// Applies a poll of the engine.
pace_change observe_engine(server_pace& pace, const engine_sighting& seen,
                           const pace_profile& profile, time_point now);

/// Applies a report on a first event. Reports of another incarnation are ignored, and those on
/// requests sent before the last cut do not change the limit again.
pace_change record_first_event(server_pace& pace, const first_event& event,
                               const pace_profile& profile, time_point now);

/// @return requests that may run or wait at the engine at once; 0: no limit
std::uint32_t concurrency_of(const server_pace& pace) noexcept;

/// @return measured time to the first event, divided by the explained one; 1 while within the noise
/// of a healthy engine. Decays while nothing is reported, so that an engine to which nobody sends
/// for its slowness is tried again.
double slowdown_of(const server_pace& pace, time_point now) noexcept;

/// @return whether a new value must be told at once
bool is_considerable_change(std::uint32_t reported_concurrency, std::uint32_t concurrency,
                            double reported_slowdown, double slowdown) noexcept;

} // namespace citronseam

#endif
