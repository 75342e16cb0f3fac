/// @file
/// The state that the control thread publishes to the traffic thread.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_TRAFFIC_VIEW_H
#define CITRONSEAM_PROGRAMS_GATEWAY_TRAFFIC_VIEW_H

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/listed_server.h"
#include "citronseam/request/route_table.h"
#include "citronseam/request/shared_quota.h"
#include "citronseam/version/announced_versions.h"

namespace citronseam {

/// State that request decisions are based on. Immutable once published.
struct traffic_view {
    std::shared_ptr<const route_table> routes; ///< nullptr until a configuration is known
    std::set<std::string, std::less<>> evacuated_zones;
    announced_versions weights;
    std::vector<listed_server> servers;
    bool has_servers{false}; ///< the server list was read
    /// Since when another gateway is known to have newer rows of the operator's table; nullopt: the
    /// configuration is the newest that is known of.
    std::optional<time_point> outdated_since;
    sender_list gateways; ///< that share the system-wide limits; empty until they are known
};

/// @return whether requests can be decided on: the configuration, the server list and the gateways
/// that share the limits are known
bool is_complete(const traffic_view& view) noexcept;

/// @return whether the requests that cold servers of a service get are limited
bool limits_cold_servers(const traffic_view& view) noexcept;

/// What a copy of the configuration that is known to be outdated may still decide. Until the newer
/// rows arrive, requests are refused as not run where the newer configuration may decide otherwise.
enum class configuration_trust : std::uint8_t {
    newest,   ///< everything: no newer rows are known of
    outdated, ///< requests that it allows, but not that a route or a key does not exist
    doubtful, ///< the same, but no requests whose route or workspace is restricted to regions
    expired   ///< nothing
};

/// @param due time after its acknowledgement within which a configuration must be in force
configuration_trust trust_in_configuration(const traffic_view& view, milliseconds due,
                                           time_point now) noexcept;

/// @return whether a request may be decided on, be it allowed or refused
/// @param rule      nullptr: the configuration has no route for it
/// @param workspace nullptr: the configuration has no workspace for its key
bool may_decide(configuration_trust trust, const route_table& routes, const route* rule,
                const workspace_config* workspace);

/// What the configuration decides on a request before a server is chosen for it.
enum class route_decision : std::uint8_t {
    not_ready,   ///< nothing is known yet
    outdated,    ///< a newer configuration may decide otherwise
    no_route,    ///< refused: the configuration has no route for it
    unknown_key, ///< refused: its route requires a workspace's key, which it does not have
    found
};

/// The decision, and what it was made by.
struct route_lookup {
    route_decision decision{route_decision::not_ready};
    const route* rule{nullptr};
    const workspace_config* workspace{nullptr};
};

/// @param view may be nullptr
/// @param due  time after its acknowledgement within which a configuration must be in force
/// @param host without a port
/// @param path without the query
/// @param key  of a workspace; empty: none
route_lookup look_up_route(const traffic_view* view, milliseconds due, time_point now,
                           const std::string& host, std::string_view path, const std::string& key);

/// @param due time after an announcement within which every engine must serve the new weights
/// @return the oldest version of a model that an engine may start a request on at `now`
std::uint64_t min_weights_version_to_begin(const traffic_view& view, const std::string& model,
                                           milliseconds due, time_point now);

/// @return the oldest version of a model whose engines a request may be sent to at `now`. It is
/// stricter than min_weights_version_to_begin(), since the engine starts the request some time
/// later.
std::uint64_t min_weights_version_to_send(const traffic_view& view, const std::string& model,
                                          milliseconds due, time_point now);

} // namespace citronseam

#endif
