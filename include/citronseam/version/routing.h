/// @file
/// One version of the routing configuration: routes, services, workspaces, limits.
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
enum class retry_class : std::uint8_t {
    idempotent,     ///< may run more than once
    non_idempotent, ///< may run at most once per attempt of the caller
    streaming       ///< the response is a stream of events; retried only if resumable
};
/// @return the name of a value, for logs and metrics
std::string_view name(retry_class kind) noexcept;

/// One of the services that share a route's requests.
struct weighted_service {
    std::string service;
    std::uint32_t weight{1};
};

/// A rule that sends requests to services.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< of the path; begins and ends with a slash
    retry_class kind{retry_class::non_idempotent};
    bool is_resumable{false};            ///< a stream may resume on another backend server
    bool requires_workspace_key{true};   ///< whether a request must carry a workspace's key
    milliseconds timeout{0};             ///< total time that a caller may wait for the response
    milliseconds latency_objective{0};   ///< until the response or the first event
    milliseconds event_gap_objective{0}; ///< between two events of a stream
    int priority{0};                     ///< 0 is first
    int max_attempts{1};                 ///< backend servers tried per attempt of the caller
    std::vector<weighted_service> services;
    std::vector<std::string> allowed_regions; ///< empty: all
};

/// @return whether a request of the route may be sent to a second backend server after it may have
/// run on the first
bool is_retryable(const route& rule) noexcept;

/// Configured performance characteristics of a service's model engines.
struct engine_profile {
    std::string model;
    std::uint32_t slots{0};                ///< maximum requests per batch
    std::uint64_t kv_cache_tokens{0};      ///< capacity of the KV cache in tokens
    std::uint32_t layers{0};               ///< of the model
    std::uint32_t chunks{0};               ///< number of chunks of the weights
    std::uint64_t chunk_bytes{0};          ///< bytes per chunk
    milliseconds load_duration{0};         ///< from a load order until the weights are active
    double decode_step_ms{0};              ///< decode step of an empty batch
    double decode_step_ms_per_sequence{0}; ///< added per request in the batch
    double prefill_tokens_per_ms{0};       ///< prefill throughput
    std::uint32_t max_prefill_tokens_per_pass{0}; ///< prefill limit; 0: unlimited
    std::uint32_t decode_steps_per_pass{0};       ///< decode steps between two prefill passes
    double mean_prompt_tokens{0};                 ///< mean of the requests
    double mean_output_tokens{0};                 ///< mean of the requests
};

/// @return mean time between two completed requests of average size at an engine with a full batch;
/// 0 if the profile is incomplete. Prompts are processed one after another, output tokens are
/// generated for the whole batch at once.
double mean_completion_interval_ms(const engine_profile& engine) noexcept;

/// @return expected duration of a request at an engine under load; 0 if the profile is incomplete
/// @param prompt_tokens tokens of the prompt
/// @param output_tokens tokens to generate
double expected_duration_ms(const engine_profile& engine, double prompt_tokens,
                            double output_tokens) noexcept;

/// @return time to process a prompt at an engine that runs decode steps for other requests in
/// between; 0 if the profile is incomplete
double prefill_ms(const engine_profile& engine, double prompt_tokens) noexcept;

/// A service: a set of backend servers that serve the same requests.
struct service_config {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections{0};   ///< per backend server, over all callers
    milliseconds warm_up_duration{0};   ///< after a backend server's start
    double cold_requests_per_second{0}; ///< limit per cold backend server; 0: unlimited
    std::string zone;                   ///< availability zone of a weight origin
    std::string origin_address; ///< `host:port` of a weight origin; empty for other services
    bool has_engine{false};     ///< whether its backend servers are model engines
    engine_profile engine;
    bool is_prefill_bound{false}; ///< see mark_prefill_bound()
};

/// A workspace: its API keys and the priority of its requests.
struct workspace_config {
    std::string name;
    std::vector<std::string> keys;
    int priority{0};
    std::vector<std::string> allowed_regions; ///< empty: all
};

/// One version of the configuration.
struct routing {
    std::uint64_t version{0};
    std::vector<route> routes;
    std::map<std::string, service_config, std::less<>> services;
    std::vector<workspace_config> workspaces;
    connection_limits limits; ///< of callers
};

/// Marks the services at whose engines few prompts fit into a latency objective, so that a request
/// is late when several processes choose the same engine at once. They are balanced by the demand
/// of all gateways.
void mark_prefill_bound(routing& rules) noexcept;

/// @return the service that is the weight origin, or nullptr
const service_config* find_weight_origin(const routing& rules) noexcept;

} // namespace citronseam

#endif
