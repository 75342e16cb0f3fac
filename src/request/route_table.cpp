#include "citronseam/request/route_table.h"

#include <algorithm>

namespace citronseam {
namespace {

bool allows(const std::vector<std::string>& regions, std::string_view region) noexcept {
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

std::shared_ptr<const route_table> make_route_table(std::shared_ptr<const routing> rules) {
    auto table = std::make_shared<route_table>();
    for (const route& rule : rules->routes) {
        table->by_host[rule.host].push_back(&rule);
    }
    for (auto& [host, routes] : table->by_host) {
        std::stable_sort(routes.begin(), routes.end(), [](const route* left, const route* right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    for (const workspace_config& workspace : rules->workspaces) {
        for (const std::string& key : workspace.keys) {
            table->by_key[key] = &workspace;
        }
    }
    table->rules = std::move(rules);
    return table;
}

const route* find_route(const route_table& table, const std::string& host, std::string_view path) {
    const auto found = table.by_host.find(host);
    if (found == table.by_host.end()) {
        return nullptr;
    }
    for (const route* rule : found->second) {
        if (path.substr(0, rule->prefix.size()) == rule->prefix) {
            return rule;
        }
    }
    return nullptr;
}

const workspace_config* find_workspace(const route_table& table, const std::string& key) {
    const auto found = table.by_key.find(key);
    return found == table.by_key.end() ? nullptr : found->second;
}

const std::string& choose_service(const route& rule, random_source& random) {
    std::uint64_t total = 0;
    for (const auto& share : rule.services) {
        total += share.weight;
    }
    std::uint64_t drawn = random_below(random, total);
    for (const auto& share : rule.services) {
        if (drawn < share.weight) {
            return share.service;
        }
        drawn -= share.weight;
    }
    return rule.services.front().service;
}

bool is_key_missing(const route_table& table, const route& rule,
                    const workspace_config* workspace) noexcept {
    return workspace == nullptr && rule.requires_workspace_key && !table.rules->workspaces.empty();
}

request_rules find_rules_for_retry(const route_table& newest, const std::string& host,
                                   std::string_view path, const std::string& key,
                                   std::string_view service, bool has_workspace) {
    const route* rule = find_route(newest, host, path);
    if (rule == nullptr) {
        return {};
    }
    const workspace_config* workspace = find_workspace(newest, key);
    const bool has_service =
        std::any_of(rule->services.begin(), rule->services.end(),
                    [&](const weighted_service& share) { return share.service == service; });
    const bool is_key_gone = has_workspace && workspace == nullptr;
    if (!has_service || is_key_gone || is_key_missing(newest, *rule, workspace)) {
        return {};
    }
    return {rule, workspace};
}

bool is_region_allowed(const route& rule, const workspace_config* workspace,
                       std::string_view region) noexcept {
    return allows(rule.allowed_regions, region) &&
           (workspace == nullptr || allows(workspace->allowed_regions, region));
}

int priority_of(const route& rule, const workspace_config* workspace) noexcept {
    return workspace != nullptr ? workspace->priority : rule.priority;
}

} // namespace citronseam
