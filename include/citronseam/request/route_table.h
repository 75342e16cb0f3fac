/// @file
/// Finds the route and the workspace of a request.
#ifndef CITRONSEAM_REQUEST_ROUTE_TABLE_H
#define CITRONSEAM_REQUEST_ROUTE_TABLE_H

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citronseam/process/random.h"
#include "citronseam/version/routing.h"

namespace citronseam {

/// One version of the routing configuration, indexed for lookups. Immutable once built.
struct route_table {
    std::shared_ptr<const routing> rules;
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host;
    std::unordered_map<std::string, const workspace_config*> by_key;
};

/// Builds the indexes of a configuration.
std::shared_ptr<const route_table> make_route_table(std::shared_ptr<const routing> rules);

/// @param host without a port
/// @param path without the query
/// @return the route with the longest matching path prefix, or nullptr
const route* find_route(const route_table& table, const std::string& host, std::string_view path);

/// @return the workspace that owns a key, or nullptr
const workspace_config* find_workspace(const route_table& table, const std::string& key);

/// Chooses one of the services of a route at random, by weight.
const std::string& choose_service(const route& rule, random_source& random);

/// @return whether a request lacks the key of a workspace that its route requires
/// @param workspace of the request, may be nullptr
bool is_key_missing(const route_table& table, const route& rule,
                    const workspace_config* workspace) noexcept;

/// The rules of one configuration for a request.
struct request_rules {
    const route* rule{nullptr};                 ///< nullptr: the request is not allowed
    const workspace_config* workspace{nullptr}; ///< nullptr: none
};

/// Finds the rules for a further attempt of a request that arrived under an older configuration.
/// @param service of the earlier attempts
/// @param has_workspace whether the request belonged to a workspace when it arrived
/// @return no rule if the configuration has no route for the request, the route has lost the
/// service, or the key is not known any more
request_rules find_rules_for_retry(const route_table& newest, const std::string& host,
                                   std::string_view path, const std::string& key,
                                   std::string_view service, bool has_workspace);

/// @return whether a request may be served in a region
/// @param workspace may be nullptr
bool is_region_allowed(const route& rule, const workspace_config* workspace,
                       std::string_view region) noexcept;

/// @return priority of a request, 0 is highest: that of the workspace if there is one, else that of
/// the route
int priority_of(const route& rule, const workspace_config* workspace) noexcept;

} // namespace citronseam

#endif
