/// @file
/// What one version of the routing configuration says: routes, services, workspaces, limits.
#ifndef CITRONSEAM_VERSION_ROUTING_H
#define CITRONSEAM_VERSION_ROUTING_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/connection/connection_limits.h"
#include "citronseam/process/clock.h"
#include "citronseam/process/sizes.h"

namespace citronseam {

/// Whether a request of a route may be sent to a second backend server.
enum class repetition : std::uint8_t {
    idempotent,     ///< may run more than once
    non_idempotent, ///< may run once for each attempt of the caller
    streaming       ///< answered by a series of events; repeatable only where it may be resumed
};
/// @return the name of a value, for logs and metrics
std::string_view name(repetition kind) noexcept;

/// One of the services that share a route's requests.
struct service_share {
    std::string service;
    std::uint32_t weight{1};
};

/// A rule that sends requests to services.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< of the path; begins and ends with a slash
    repetition kind{repetition::non_idempotent};
    bool is_resumable{false};            ///< a stream may go on at another backend server
    bool needs_key{true};                ///< whether a request must carry a workspace's key
    milliseconds timeout{0};             ///< longest time that a caller is kept waiting
    milliseconds latency_objective{0};   ///< until the answer or the first event
    milliseconds event_gap_objective{0}; ///< between two events of a stream
    int priority{0};                     ///< 0 is first
    int most_attempts{1};                ///< backend servers that one caller attempt may reach
    std::vector<service_share> services;
    std::vector<std::string> allowed_regions; ///< empty: all
};

/// @return whether a request of the route may be sent to a second backend server after it may have
/// run on the first
bool is_repeatable(const route& rule) noexcept;

/// What is known in advance about the model engines of a service.
struct engine_profile {
    std::string model;
    std::uint32_t slots{0};                  ///< requests in one batch
    std::uint64_t memory_tokens{0};          ///< tokens that the memory for requests holds
    std::uint32_t layers{0};                 ///< of the model
    std::uint32_t chunks{0};                 ///< pieces of the weights
    std::uint64_t chunk_bytes{0};            ///< size of a piece
    milliseconds load_duration{0};           ///< from a start order until the weights are in force
    double step_ms{0};                       ///< one token step of an otherwise empty batch
    double step_ms_per_sequence{0};          ///< added for each request in the batch
    double prompt_tokens_per_ms{0};          ///< rate at which prompts are read
    std::uint32_t prompt_tokens_per_pass{0}; ///< at most; 0: no bound
    std::uint32_t steps_per_pass{0};         ///< token steps between two readings
    double usual_prompt_tokens{0};           ///< mean of the requests
    double usual_output_tokens{0};           ///< mean of the requests
};

/// @return time in which an engine with a full batch finishes one usual request after the other; 0
/// when the profile does not tell. Prompts are read one after another, tokens are made for the
/// whole batch at once.
double usual_turnover_ms(const engine_profile& engine) noexcept;

/// @return time that a request is expected to take at an engine under load
/// @param prompt_tokens tokens to read
/// @param output_tokens tokens to make
double expected_duration_ms(const engine_profile& engine, double prompt_tokens,
                            double output_tokens) noexcept;

/// @return time until a prompt is read at an engine that makes tokens for others in between
double reading_ms(const engine_profile& engine, double prompt_tokens) noexcept;

/// A service: a set of backend servers that serve the same requests.
struct routed_service {
    std::string name;
    std::string health_path;
    std::uint32_t most_connections{0};  ///< each backend server takes, from all callers together
    milliseconds cold_duration{0};      ///< after a start
    double cold_requests_per_second{0}; ///< that a cold backend server bears; 0: no bound
    std::string zone;                   ///< of an origin of weights
    std::string origin_address;         ///< `host:port` of an origin of weights; empty for others
    bool has_engine{false};             ///< whether its backend servers are model engines
    engine_profile engine;
};

/// Who owns a key, and how its requests rank.
struct routed_workspace {
    std::string name;
    std::vector<std::string> keys;
    int priority{0};
    std::vector<std::string> allowed_regions; ///< empty: all
};

/// One version of the configuration.
struct routing {
    std::uint64_t version{0};
    std::vector<route> routes;
    std::map<std::string, routed_service, std::less<>> services;
    std::vector<routed_workspace> workspaces;
    connection_limits limits; ///< of callers
};

/// @return the service that is the origin of weights, or nullptr
const routed_service* find_origin(const routing& rules) noexcept;

} // namespace citronseam

#endif
