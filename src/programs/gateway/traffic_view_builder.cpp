#include "programs/gateway/traffic_view_builder.h"

#include <numeric>

#include "citronseam/process/log.h"
#include "platform/decode.h"
#include "programs/node/operator_rows.h"

namespace citronseam {

std::uint64_t belief_keeper::configuration_version() const noexcept {
    return view_.routes == nullptr ? 0 : view_.routes->rules->version;
}

void belief_keeper::take_rules(routing rules) {
    if (rules.version <= configuration_version()) {
        return;
    }
    const std::size_t keys = std::accumulate(
        rules.workspaces.begin(), rules.workspaces.end(), std::size_t{0},
        [](std::size_t sum, const auto& workspace) { return sum + workspace.keys.size(); });
    // Keys that are taken away show as refused callers and nowhere else.
    log_event(log_level::info, "configuration_in_force",
              {{"version", rules.version},
               {"before", configuration_version()},
               {"routes", rules.routes.size()},
               {"workspaces", rules.workspaces.size()},
               {"keys", keys}});
    view_.routes = make_route_table(std::make_shared<const routing>(std::move(rules)));
}

void belief_keeper::take_weights(const std::string& model, std::uint64_t version, time_point now) {
    auto& named = view_.weights[model];
    if (!named.empty() && version <= named.back().version) {
        return;
    }
    log_event(log_level::info, "weights_named", {{"model", model}, {"version", version}});
    named.push_back({version, now});
}

void belief_keeper::take_operator_rows(const std::vector<versioned_row>& changed, time_point now) {
    const time_point named_at = has_operator_rows_ ? now : now - first_weights_age_;
    has_operator_rows_ = true;
    decode_operator_rows(changed, [&](platform::operator_row row, std::uint64_t version) {
        if (row.rules) {
            take_rules(std::move(*row.rules));
        } else if (row.evacuated_zone) {
            log_event(log_level::info, row.is_removed ? "zone_back" : "zone_evacuated",
                      {{"zone", *row.evacuated_zone}, {"row_version", version}});
            if (row.is_removed) {
                view_.evacuated_zones.erase(*row.evacuated_zone);
            } else {
                view_.evacuated_zones.insert(*row.evacuated_zone);
            }
        } else if (row.weights) {
            take_weights(row.weights->model, row.weights->version, named_at);
        }
    });
}

bool belief_keeper::take_server_rows(const std::vector<versioned_row>& changed) {
    bool is_any_news = !view_.has_servers;
    for (const auto& row : changed) {
        const auto known = servers_.find(row.key);
        if (row.is_removed) {
            if (known != servers_.end()) {
                log_event(log_level::info, "server_gone", {{"server", row.key}});
                servers_.erase(known);
                is_any_news = true;
            }
            continue;
        }
        auto server = platform::decode_server(row);
        if (!server) {
            log_event(log_level::warning, "server_entry_unreadable",
                      {{"server", row.key}, {"reason", server.error().message}});
            is_any_news = servers_.erase(row.key) > 0 || is_any_news;
            continue;
        }
        const bool is_news = known == servers_.end() ||
                             known->second.is_draining != server->is_draining ||
                             known->second.weights_version != server->weights_version ||
                             known->second.started_at_ms != server->started_at_ms;
        is_any_news = is_any_news || is_news;
        if (is_news) {
            log_event(log_level::info, "server_listed",
                      {{"server", server->id},
                       {"service", server->service},
                       {"address", server->address},
                       {"zone", server->zone},
                       {"draining", server->is_draining ? 1 : 0},
                       {"weights", server->weights_version},
                       {"cold_ms", server->cold_for.count()},
                       {"row_version", row.version}});
        }
        servers_[row.key] = std::move(*server);
    }
    view_.has_servers = true;
    return is_any_news;
}

bool belief_keeper::set_gateways(std::size_t count) {
    const bool is_change = count != view_.gateways;
    view_.gateways = count;
    return is_change;
}

std::shared_ptr<const traffic_view> belief_keeper::publish() const {
    auto copy = std::make_shared<traffic_view>(view_);
    copy->servers.reserve(servers_.size());
    for (const auto& [id, server] : servers_) {
        copy->servers.push_back(server);
    }
    return copy;
}

} // namespace citronseam
