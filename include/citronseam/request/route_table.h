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

/// One version of the configuration, indexed for lookups. Immutable once built.
struct route_table {
    std::shared_ptr<const routing> rules;
    /// By host: its routes, the longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host;
    std::unordered_map<std::string, const routed_workspace*> by_key;
};

/// Indexes a configuration.
std::shared_ptr<const route_table> make_route_table(std::shared_ptr<const routing> rules);

/// @param host without a port
/// @param path without the query
/// @return the route with the longest prefix that begins the path, or nullptr
const route* find_route(const route_table& table, const std::string& host, std::string_view path);

/// @return the workspace that owns a key, or nullptr
const routed_workspace* find_workspace(const route_table& table, const std::string& key);

/// Chooses one of the services that share a route, by weight.
const std::string& choose_service(const route& rule, random_source& random);

/// @return whether a request may be served in a region
/// @param workspace may be nullptr
bool is_region_allowed(const route& rule, const routed_workspace* workspace,
                       std::string_view region) noexcept;

/// @return rank of a request, 0 first: the workspace's when it has one, else the route's
int rank_of(const route& rule, const routed_workspace* workspace) noexcept;

} // namespace citronseam

#endif
