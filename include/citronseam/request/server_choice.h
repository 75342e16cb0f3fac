/// @file
/// Chooses the backend server for a request out of what one process knows of the servers' load.
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

/// What the process beside a model engine reports of it.
struct engine_report {
    std::uint32_t busy{0};            ///< requests that run or wait there, from all callers
    std::uint64_t weights_version{0}; ///< of the whole model in force; 0: none
    bool is_loading{false};           ///< it takes no requests until its load is done
    bool is_reachable{true};
    std::optional<milliseconds> load_in; ///< when it will begin to load new weights
};

/// One backend server as this process knows it.
struct server_state {
    listed_server entry;
    std::uint32_t own_running{0}; ///< requests of this process that are under way there
    bool has_report{false};
    engine_report report;
    time_point reported_at;
    std::uint32_t sent_since_report{0};
    std::uint32_t ended_since_report{0};
    double unread_ms{0}; ///< time to read the prompts of own requests that wait for a first event
    sliding_count sent;  ///< requests of this process, for the bound of cold servers
    double failure_share{0}; ///< recent share of exchanges that the server broke
    int failures_in_a_row{0};
    time_point barred_until; ///< no requests until then
    time_point full_until;   ///< it refused a request for lack of room
};

/// What binds the choice.
struct choice_terms {
    time_point now;
    std::string_view own_zone;
    std::string_view own_region;
    std::size_t sharers{1};             ///< processes that send to the same servers
    std::uint32_t waiting_allowance{0}; ///< requests that may wait at a server beyond its slots
    double longest_wait_ms{0}; ///< a server that would begin to answer later is full; 0: no bound
    double cold_requests_per_second{0}; ///< of all processes together to one server; 0: no bound
    milliseconds expected_duration{0};  ///< of the request
    double prompt_ms{0};                ///< time that an engine takes to read the request's prompt
    double turnover_ms{0}; ///< time in which a full server finishes one request after the other
    /// Processes that are taken to send as much to a server as this one does.
    double senders_alike{1};
    std::uint64_t least_weights_version{0};
    std::uint64_t exact_weights_version{0}; ///< 0: any; else a stream goes on with these weights
    bool needs_weights{false};              ///< whether only servers that hold weights will do
    std::vector<std::string_view> excluded; ///< identifiers of servers that were tried
    /// @return whether servers of a zone may be used
    std::function<bool(std::string_view zone)> is_zone_allowed;
    /// @return region of a zone
    std::function<std::string_view(std::string_view zone)> region_of;
};

/// Why no server was chosen.
enum class choice_obstacle : std::uint8_t {
    none,
    no_server, ///< none is listed that may be used
    full,      ///< all that may be used have no room
    failing    ///< those that are left are barred after failures
};
/// @return the name of an obstacle, for logs
std::string_view name(choice_obstacle obstacle) noexcept;

/// Result of a choice.
struct server_choice {
    server_state* server{nullptr};
    choice_obstacle obstacle{choice_obstacle::none};
    double busy{0}; ///< what the choice assumed to run there
};

/// Age at which a report is not used any more: several intervals of reports were lost.
constexpr milliseconds report_lifetime{1000};

/// @return version of the whole model that a server holds, as last heard; 0 for none
std::uint64_t held_weights(const server_state& server, time_point now) noexcept;

/// Whether a request keeps an engine from loading new weights: the engine takes nothing new until
/// all that runs there has ended, so that the last request holds up a whole batch.
/// @param rest time that the request is expected to go on; a short one is not worth reading its
/// prompt at another engine
bool keeps_from_loading(const server_state& server, milliseconds rest, time_point now) noexcept;

/// @return requests that are assumed to run or wait at a server
double estimate_busy(const server_state& server, time_point now) noexcept;

/// @return requests that the server may hold before it counts as full
double room_of(const server_state& server, const choice_terms& terms) noexcept;

/// Chooses among the servers of one service. The least busy one wins; servers of other zones and
/// regions count as busier, so that traffic stays near while there is room.
server_choice choose_server(const std::vector<server_state*>& servers, const choice_terms& terms,
                            random_source& random);

/// Takes a report.
void take_report(server_state& server, const engine_report& report, time_point now) noexcept;
/// Notes that a request began to be answered, or ended without.
/// @param prompt_ms as when it was sent
void note_prompt_read(server_state& server, double prompt_ms) noexcept;

/// Notes that a request of this process was sent.
void note_sent(server_state& server, const choice_terms& terms);

/// @return time until the server would begin to answer, as far as this process can tell: prompts
/// are read one after another, so those sent just before count, while the size of the batch hardly
/// does
double expected_wait_ms(const server_state& server, const choice_terms& terms) noexcept;
/// How an exchange with a backend server ended, as far as the server is to blame.
enum class exchange_standing : std::uint8_t {
    sound,   ///< it answered
    refused, ///< it said that it has no room
    other,   ///< another server answers at its address
    broken,  ///< no answer, or one that cannot be used
    ended    ///< the caller left, or the request's time was over
};
/// Notes the end of an exchange.
void note_ended(server_state& server, exchange_standing standing, time_point now) noexcept;

} // namespace citronseam

#endif
