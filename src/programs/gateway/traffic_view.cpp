#include "programs/gateway/traffic_view.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Upper bound, for nearly all requests, on the time from sending until the engine starts: a full
/// engine may take twice the usual latency objective.
constexpr milliseconds start_delay_margin{900};
/// Covers the delay until a version's announcement arrives and until a cancelled request ends at
/// its engine.
constexpr milliseconds propagation_margin{300};
/// Rows usually arrive well within this time after their announcement. Few requests are restricted
/// to regions, so it is cheap to refuse them early.
constexpr milliseconds restricted_trust_time{1000};
/// Covers the time until an announcement arrives and until a request reaches its server.
constexpr milliseconds expiry_margin{500};

bool is_restricted(const route& rule, const workspace_config* workspace) noexcept {
    return !rule.allowed_regions.empty() ||
           (workspace != nullptr && !workspace->allowed_regions.empty());
}

std::uint64_t min_due_version(const traffic_view& view, const std::string& model, milliseconds due,
                              time_point now) {
    const auto found = view.weights.find(model);
    if (found == view.weights.end()) {
        return 0;
    }
    std::uint64_t min_version = 0;
    for (const auto& announced : found->second) {
        if (now - announced.announced_at >= due) {
            min_version = std::max(min_version, announced.version);
        }
    }
    return min_version;
}

} // namespace

bool limits_cold_servers(const traffic_view& view) noexcept {
    if (view.routes == nullptr) {
        return false;
    }
    const auto& services = view.routes->rules->services;
    return std::any_of(services.begin(), services.end(), [](const auto& service) {
        return service.second.cold_requests_per_second > 0;
    });
}

bool is_complete(const traffic_view& view) noexcept {
    return view.routes != nullptr && view.has_servers && view.gateways.count > 0;
}

configuration_trust trust_in_configuration(const traffic_view& view, milliseconds due,
                                           time_point now) noexcept {
    if (!view.outdated_since) {
        return configuration_trust::newest;
    }
    const auto waited = now - *view.outdated_since;
    if (waited >= due - expiry_margin) {
        return configuration_trust::expired;
    }
    return waited >= restricted_trust_time ? configuration_trust::doubtful
                                           : configuration_trust::outdated;
}

bool may_decide(configuration_trust trust, const route_table& routes, const route* rule,
                const workspace_config* workspace) {
    if (trust == configuration_trust::newest) {
        return true;
    }
    const bool is_allowed = rule != nullptr && !is_key_missing(routes, *rule, workspace);
    if (trust == configuration_trust::expired || !is_allowed) {
        return false;
    }
    return trust == configuration_trust::outdated || !is_restricted(*rule, workspace);
}

route_lookup look_up_route(const traffic_view* view, milliseconds due, time_point now,
                           const std::string& host, std::string_view path, const std::string& key) {
    if (view == nullptr || !is_complete(*view)) {
        return {};
    }
    route_lookup found;
    found.rule = find_route(*view->routes, host, path);
    found.workspace = find_workspace(*view->routes, key);
    const auto trust = trust_in_configuration(*view, due, now);
    if (!may_decide(trust, *view->routes, found.rule, found.workspace)) {
        found.decision = route_decision::outdated;
    } else if (found.rule == nullptr) {
        found.decision = route_decision::no_route;
    } else if (is_key_missing(*view->routes, *found.rule, found.workspace)) {
        found.decision = route_decision::unknown_key;
    } else {
        found.decision = route_decision::found;
    }
    return found;
}

std::uint64_t min_weights_version_to_begin(const traffic_view& view, const std::string& model,
                                           milliseconds due, time_point now) {
    return min_due_version(view, model, due - propagation_margin, now);
}

std::uint64_t min_weights_version_to_send(const traffic_view& view, const std::string& model,
                                          milliseconds due, time_point now) {
    return min_due_version(view, model, due - start_delay_margin, now);
}

} // namespace citronseam
