/// @file
/// Configuration of a whole deployment, which operators keep under version control.
#ifndef CITRONSEAM_PROCESS_CONFIGURATION_H
#define CITRONSEAM_PROCESS_CONFIGURATION_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/settings.h"

namespace citronseam {

/// Kind of the backend servers of a service.
enum class service_kind : std::uint8_t {
    engine, ///< model engines, which serve completions and load weights on request
    plain   ///< any HTTP server; requests are passed through
};
/// @return the name of a kind as written in configuration
std::string_view name(service_kind kind) noexcept;

/// Whether the engines of a service check the fencing token of a load request.
enum class fencing_mode : std::uint8_t {
    enforced, ///< the engine refuses a load request with an older token
    ignored   ///< the engine accepts any load request, so its agent must not send outdated ones
};
/// @return the name of a mode as written in configuration
std::string_view name(fencing_mode mode) noexcept;

/// What a process does while it has not been able to confirm for too long that its configuration is
/// the newest.
enum class isolation_policy : std::uint8_t {
    refuse, ///< refuse new requests as not executed
    serve   ///< keep serving with the configuration it has
};
/// @return the name of a policy as written in configuration
std::string_view name(isolation_policy policy) noexcept;

/// How an entry balances requests over the backend servers of a service.
enum class balancing_policy : std::uint8_t {
    two_choices, ///< the less loaded of two random servers, own zone first
    round_robin  ///< in turn, regardless of load: the baseline for measurements
};
/// @return the name of a policy as written in configuration
std::string_view name(balancing_policy policy) noexcept;

/// Where agents download the chunks of a model version from.
enum class chunk_source_policy : std::uint8_t {
    peers, ///< from each other; the origin sends each chunk about once
    origin ///< each downloads all of them from the origin: the baseline for measurements
};
/// @return the name of a policy as written in configuration
std::string_view name(chunk_source_policy policy) noexcept;

/// A region: availability zones connected by fast links.
struct region {
    std::string name;
    std::uint64_t link_bytes_per_second{
        0}; ///< bytes a second towards other regions, for all traffic
};

/// An availability zone.
struct availability_zone {
    std::string name;
    std::string region;
    bool in_service{true}; ///< false: no new work
};

/// A customer and its share of the capacity.
struct workspace {
    std::string name;
    std::uint32_t weight{1};       ///< share of a saturated service, relative to other workspaces
    std::uint32_t queue_limit{64}; ///< requests of this workspace that may be queued at one entry
};

/// States for one method and path prefix whether a request may be retried.
struct idempotency_rule {
    std::string method; ///< HTTP method, `*` for any
    std::string path;   ///< path prefix
    bool is_idempotent{true};
};

/// Limits of a service.
struct service_limits {
    std::uint32_t cold_concurrency{1};       ///< concurrent requests at a cold backend server
    std::uint32_t max_concurrency{16};       ///< concurrent requests at a warm backend server
    std::uint32_t queue_limit{256};          ///< requests that may be queued at one entry
    milliseconds request_timeout{30000};     ///< total time for one request
    std::uint32_t retry_percent{10};         ///< retries allowed per hundred requests
    milliseconds result_retention{86400000}; ///< how long results under idempotency keys are kept
};

/// Limits on the rollout of a model version.
struct rollout_limits {
    chunk_source_policy chunk_source{chunk_source_policy::peers};
    std::uint32_t max_parallel_reloads_per_zone{
        1}; ///< engines per zone that may reload at the same time
    std::uint64_t origin_bytes_per_second{
        0}; ///< bytes a second downloaded from the origin; 0: unlimited
    std::uint64_t peer_bytes_per_second{0}; ///< bytes a second that each agent sends; 0: unlimited
};

/// A service: backend servers that handle the same requests.
struct service {
    std::string name;
    service_kind kind{service_kind::engine};
    std::string model_version; ///< hash of the manifest to serve; empty for none
    fencing_mode fencing{fencing_mode::enforced};
    balancing_policy balancing{balancing_policy::two_choices};
    service_limits limits;
    rollout_limits rollout;
    std::vector<idempotency_rule> rules;
};

/// How long a confirmation that the configuration is the newest stays valid.
struct evidence_settings {
    milliseconds max_age{3000};
    isolation_policy when_isolated{isolation_policy::refuse};
};

/// The configuration of a whole deployment.
struct configuration {
    std::string deployment;
    evidence_settings evidence;
    std::string origin_region; ///< region in which the origin of the weights runs
    std::vector<region> regions;
    std::vector<availability_zone> availability_zones;
    std::vector<workspace> workspaces;
    std::vector<service> services;
};

/// Parses and validates a configuration.
/// @param content text of the file
/// @param file    its name, for error messages
file_result<configuration> parse_configuration(const std::string& content, const std::string& file);

/// @return the service of that name, or nullptr
const service* find_service(const configuration& config, std::string_view name) noexcept;
/// @return the availability zone of that name, or nullptr
const availability_zone* find_zone(const configuration& config, std::string_view name) noexcept;
/// @return the workspace of that name, or nullptr
const workspace* find_workspace(const configuration& config, std::string_view name) noexcept;
/// @return the region of an availability zone, empty when the zone is unknown
std::string_view region_of(const configuration& config, std::string_view zone) noexcept;

/// Decides whether a request may be retried. The first matching rule applies; without one, GET and
/// HEAD may be retried, and so may any request to an engine.
/// @param target request target: path with an optional query
bool is_idempotent(const service& target_service, std::string_view method, std::string_view target);

} // namespace citronseam

#endif
