/// @file
/// Chooses the backend server for a request from the load information that one process has.
#ifndef CITRONSEAM_REQUEST_SERVER_CHOICE_H
#define CITRONSEAM_REQUEST_SERVER_CHOICE_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/listed_server.h"
#include "citronseam/process/random.h"
#include "citronseam/request/sliding_window_counter.h"

namespace citronseam {

/// Report about a model engine, sent by the process that runs beside it.
struct engine_report {
    std::uint32_t busy{0};            ///< running and waiting requests from all callers
    std::uint64_t weights_version{0}; ///< of the complete model in use; 0: none
    bool is_loading{false};           ///< accepts no requests until the weights are loaded
    bool is_reachable{true};
    std::optional<milliseconds> time_until_load; ///< until it begins to load new weights
    milliseconds lifetime{1000};                 ///< older reports are ignored
    std::uint32_t concurrency{0}; ///< requests that may run or wait there at once; 0: no limit
    double slowdown{1};           ///< measured time to the first event, divided by the expected one
    std::uint64_t incarnation{0}; ///< Unix time of the engine's start in ms; 0: not known
};

/// State of one backend server as known to this process.
struct server_state {
    listed_server entry;
    std::uint32_t own_running{0}; ///< requests in flight from this process
    bool has_report{false};
    engine_report report;
    time_point reported_at;
    std::uint32_t sent_since_report{0};
    std::uint32_t ended_since_report{0};
    double pending_prefill_ms{0};        ///< prefill time of own requests without a first event yet
    sliding_window_counter recent_sends; ///< from this process, for the cold-server rate limit
    double failure_rate{0};              ///< recent fraction of exchanges that failed at the server
    int consecutive_failures{0};
    time_point ejected_until;   ///< no requests are sent until then
    time_point full_until;      ///< considered full after it refused a request
    std::size_t sender_rank{0}; ///< of this process among all that send to the server
    /// Requests a second that it takes from all processes together; nullopt: it names no limit.
    std::optional<double> request_limit;
    time_point limit_named_at;            ///< when this process last learned of a limit
    sliding_window_counter counted_sends; ///< from this process, for the limit that it may name
    bool is_leaving{false};               ///< it said so in an answer, whatever its entry says
    time_point last_heard_at;             ///< when it last sent a part of a response
    time_point backoff_until;             ///< it wants no requests from this process until then
};

/// Window of the limit on the requests that cold servers get.
constexpr milliseconds cold_window{1000};

/// Constraints and cost parameters of a choice.
struct choice_constraints {
    time_point now;
    /// Since when this process counts what it sends. What another one under its name, which may
    /// have ended a moment before, has sent is not known.
    time_point counting_since;
    std::string_view own_zone;
    std::string_view own_region;
    std::size_t process_count{1}; ///< processes that send to the same servers, including this one
    std::uint32_t max_waiting_requests{0}; ///< requests that may wait at a server beyond its slots
    double max_wait_ms{0}; ///< a server with a longer expected wait counts as full; 0: no limit
    double cold_requests_per_second{0}; ///< from all processes together to one server; 0: no limit
    milliseconds expected_duration{0};  ///< of the request
    double prompt_prefill_ms{0};        ///< prefill time of the request's prompt at an engine
    double completion_interval_ms{0};   ///< mean time between completions at a full server
    /// Number of processes assumed to send as much to a server as this one does.
    double assumed_sender_count{1};
    /// Requests that the other processes of the zone are expected to send until reports are
    /// renewed. They are spread over the servers; 0: the server of the lowest cost is chosen.
    double expected_arrivals{0};
    double mean_prefill_ms{0}; ///< of one of these requests
    std::uint64_t min_weights_version{0};
    std::uint64_t exact_weights_version{0}; ///< 0: any; else the version that a stream began with
    bool needs_weights{false}; ///< whether only servers with loaded weights are eligible
    /// Whether only servers with a report are eligible, since entries may be those of servers that
    /// were replaced while no process of this system ran.
    bool needs_report{false};
    /// Whether a report of another start of the engine than the entry's makes a server ineligible.
    bool checks_incarnation{false};
    std::vector<std::string_view> excluded; ///< identifiers of servers already tried
    /// @return whether servers of a zone may be used
    std::function<bool(std::string_view zone)> is_zone_allowed;
    /// @return region of a zone
    std::function<std::string_view(std::string_view zone)> region_of;
};

/// Why no server was chosen.
enum class choice_failure : std::uint8_t {
    none,
    no_server,  ///< no eligible server is listed
    full,       ///< all eligible servers are full
    failing,    ///< the remaining servers are ejected after failures
    backing_off ///< the remaining servers want no requests for a time that they named
};
/// @return the name of a failure reason, for logs
std::string_view name(choice_failure failure_reason) noexcept;

/// Result of a choice.
struct server_choice {
    server_state* server{nullptr};
    choice_failure failure_reason{choice_failure::none};
    double busy{0}; ///< estimated number of requests that run or wait there
};

/// @return version of the complete model at a server, as last reported; 0 for none
std::uint64_t held_weights_version(const server_state& server, time_point now) noexcept;

/// Whether a request delays an engine's load of new weights: the engine accepts no new requests
/// until all running ones have ended, so the last request holds up an entire batch.
/// @param remaining_time expected remaining duration of the request; when it is short, repeating
/// the prefill at another engine is not worthwhile
bool delays_weight_load(const server_state& server, milliseconds remaining_time,
                        time_point now) noexcept;

/// @return estimated number of requests that run or wait at a server
double estimate_request_count(const server_state& server, time_point now) noexcept;

/// @return number of requests at which the server counts as full
double capacity_of(const server_state& server, const choice_constraints& constraints) noexcept;

/// Chooses among the servers of one service. The server with the lowest score, mainly the expected
/// wait, is chosen; servers in other zones and regions get a penalty, so that traffic stays local
/// while there is capacity.
server_choice choose_server(const std::vector<server_state*>& servers,
                            const choice_constraints& constraints, random_source& random);

/// @return time until the first server takes requests again; zero unless all eligible servers want
/// none
milliseconds time_until_backoff_ends(const std::vector<server_state*>& servers,
                                     const choice_constraints& constraints);

/// Stores a report and restarts the counts of requests sent and ended since the last report.
void apply_report(server_state& server, const engine_report& report, time_point now) noexcept;

/// Records that the prefill of a request ended: it received its first event, or ended without one.
/// @param prompt_prefill_ms prefill time that was added when the request was sent
void record_prefill_end(server_state& server, double prompt_prefill_ms) noexcept;

/// Applies the limit that a server names in an answer, or that it names none.
/// @param sent_at when the request was sent: an answer without a limit counts only if the request
/// was sent after the limit became known
/// @return whether the limit changed
bool apply_request_limit(server_state& server, std::optional<double> limit, time_point sent_at,
                         time_point now) noexcept;

/// Records that a server says in an answer that it leaves. Holds until another incarnation of the
/// server is listed.
/// @return whether this was not known yet
bool record_leaving(server_state& server) noexcept;

/// Longest time for which a server may ask for no requests.
constexpr std::chrono::seconds max_requested_backoff{600};
/// Applies the time for which a server wants no requests from this process. A shorter time does not
/// end a longer one that still runs.
/// @param delay_s not negative, in seconds; cut to max_requested_backoff
void apply_requested_backoff(server_state& server, double delay_s, time_point now) noexcept;

/// @return whether a server has asked for something that holds although its entry is missing
bool must_be_remembered(const server_state& server, time_point now) noexcept;

/// Records that this process sent a request.
void record_sent(server_state& server, const choice_constraints& constraints);

/// @return expected time until the server begins to respond if it is as fast as its profile says.
/// Prefills run one after another, so prompts just sent count, while the batch size hardly
/// matters.
double profile_wait_ms(const server_state& server, const choice_constraints& constraints) noexcept;

/// @return the same at the server's measured speed, with what its prefill of the request's prompt
/// takes longer than that of a server at full speed
double expected_wait_ms(const server_state& server, const choice_constraints& constraints) noexcept;

/// How an exchange with a backend server ended, as far as the server is responsible.
enum class exchange_outcome : std::uint8_t {
    succeeded,    ///< the server responded
    refused,      ///< the server reported that it is full
    wrong_server, ///< a different server responded at its address
    failed,       ///< no response, or an unusable one
    abandoned     ///< the caller disconnected, or the request's deadline passed
};
/// Records the end of an exchange.
void record_ended(server_state& server, exchange_outcome outcome, time_point now) noexcept;

} // namespace citronseam

#endif
