#include "programs/gateway/traffic_view_builder.h"

#include <algorithm>
#include <numeric>

#include "citronseam/process/log.h"
#include "platform/decode.h"
#include "programs/node/operator_rows.h"

namespace citronseam {
namespace {

void log_change(announcement_change change, const char* source, const std::string& model,
                const announced_version& announced, time_point now) {
    if (change == announcement_change::none) {
        return;
    }
    log_event(log_level::info,
              change == announcement_change::added ? "weights_named" : "weights_dated",
              {{"model", model},
               {"version", announced.version},
               {"age_ms", elapsed_ms(announced.announced_at, now)},
               {"assumed", announced.is_assumed ? 1 : 0},
               {"source", source}});
}

} // namespace

std::uint64_t traffic_view_builder::configuration_version() const noexcept {
    return view_.routes == nullptr ? 0 : view_.routes->rules->version;
}

void traffic_view_builder::apply_configuration(routing rules) {
    if (rules.version <= configuration_version()) {
        return;
    }
    const std::size_t keys = std::accumulate(
        rules.workspaces.begin(), rules.workspaces.end(), std::size_t{0},
        [](std::size_t sum, const auto& workspace) { return sum + workspace.keys.size(); });
    // Logs the key count, since a removed key otherwise shows only as refused callers.
    log_event(log_level::info, "configuration_in_force",
              {{"version", rules.version},
               {"before", configuration_version()},
               {"routes", rules.routes.size()},
               {"workspaces", rules.workspaces.size()},
               {"keys", keys}});
    mark_prefill_bound(rules);
    view_.routes = make_route_table(std::make_shared<const routing>(std::move(rules)));
}

bool traffic_view_builder::apply_told_weights(const std::string& model,
                                              const announced_version& told, time_point now) {
    const announcement_change change = learn_from_member(view_.weights, model, told);
    log_change(change, "member", model, told, now);
    return change != announcement_change::none;
}

void traffic_view_builder::apply_operator_rows(const std::vector<versioned_row>& changed,
                                               time_point now) {
    const bool is_assumed = !has_operator_rows_ || now < ages_unknown_until_;
    has_operator_rows_ = true;
    decode_operator_rows(changed, [&](platform::operator_row row, std::uint64_t version) {
        if (row.rules) {
            apply_configuration(std::move(*row.rules));
        } else if (row.evacuated_zone) {
            log_event(log_level::info, row.is_removed ? "zone_back" : "zone_evacuated",
                      {{"zone", *row.evacuated_zone}, {"row_version", counter_of(version)}});
            if (row.is_removed) {
                view_.evacuated_zones.erase(*row.evacuated_zone);
            } else {
                view_.evacuated_zones.insert(*row.evacuated_zone);
            }
        } else if (row.weights) {
            const announced_version listed{
                row.weights->version, is_assumed ? now - assumed_weights_age_ : now, is_assumed};
            log_change(learn_from_table(view_.weights, row.weights->model, listed), "table",
                       row.weights->model, listed, now);
        }
    });
}

std::vector<versioned_row>
traffic_view_builder::apply_server_rows(const std::vector<versioned_row>& changed) {
    std::vector<versioned_row> relevant;
    for (const auto& row : changed) {
        const auto known = servers_.find(row.key);
        if (row.is_removed) {
            if (known != servers_.end()) {
                log_event(log_level::info, "server_gone", {{"server", row.key}});
                servers_.erase(known);
            }
            relevant.push_back(row);
            continue;
        }
        auto server = platform::decode_server(row);
        if (!server) {
            log_event(log_level::warning, "server_entry_unreadable",
                      {{"server", row.key}, {"reason", server.error().message}});
            servers_.erase(row.key);
            relevant.push_back(row);
            continue;
        }
        if (known == servers_.end() || !is_same_registration(known->second, *server)) {
            relevant.push_back(row);
            log_event(log_level::info, "server_listed",
                      {{"server", server->id},
                       {"service", server->service},
                       {"address", server->address},
                       {"zone", server->zone},
                       {"draining", server->is_draining ? 1 : 0},
                       {"weights", server->weights_version},
                       {"cold_ms", server->remaining_cold_time.count()},
                       {"row_version", counter_of(row.version)}});
        }
        servers_[row.key] = std::move(*server);
    }
    view_.has_servers = true;
    return relevant;
}

bool traffic_view_builder::set_gateways(sender_list gateways) {
    // Connections to gateways that know of more may be lost.
    gateways.count = std::max(gateways.count, view_.gateways.count);
    const bool is_changed = gateways != view_.gateways;
    view_.gateways = std::move(gateways);
    return is_changed;
}

std::shared_ptr<const traffic_view> traffic_view_builder::build() const {
    auto copy = std::make_shared<traffic_view>(view_);
    copy->servers.reserve(servers_.size());
    for (const auto& [id, server] : servers_) {
        copy->servers.push_back(server);
    }
    return copy;
}

} // namespace citronseam
