#include "soak/planned_work.h"

#include <algorithm>

namespace citronseam::soak {
namespace {

using harness::platform_server;
using harness::platform_world;
using nlohmann::json;

constexpr const char* leaving = "leaving";
constexpr const char* evacuated = "evacuated";
constexpr std::uint64_t extra_route_count = 400;

/// How a server lets others know that it leaves.
enum class announcement : std::uint8_t { row, row_and_answers, missing_row };
constexpr std::uint64_t announcement_count = 3;

std::size_t zone_of(const planned_fault& work) {
    return work.parameter % platform_world::zone_count;
}

announcement announcement_of(const planned_fault& work) {
    return static_cast<announcement>(work.parameter / platform_world::zone_count %
                                     announcement_count);
}

time_point now() {
    return std::chrono::steady_clock::now();
}

json& route(json& configuration, const std::string& name) {
    auto& routes = configuration["routes"];
    return *std::find_if(routes.begin(), routes.end(),
                         [&](const json& item) { return item["name"] == name; });
}

void add_route(json& configuration, const std::string& name) {
    json added = route(configuration, "book");
    added["name"] = name;
    added["prefix"] = "/" + name + "/";
    configuration["routes"].push_back(added);
}

void add_guest(json& configuration) {
    configuration["tenants"].push_back(
        {{"name", "guest"}, {"api_keys", {planned_work::guest_key}}, {"priority", 1}});
}

/// Removes the items whose name begins with `begin`.
void remove_named(json& items, const std::string& begin) {
    items.erase(std::remove_if(items.begin(), items.end(),
                               [&](const json& item) {
                                   return item["name"].get<std::string>().rfind(begin, 0) == 0;
                               }),
                items.end());
}

void set_timeouts(json& configuration, int look_ms, int book_ms) {
    route(configuration, "look")["timeout_ms"] = look_ms;
    route(configuration, "book")["timeout_ms"] = book_ms;
}

void change(json& configuration, fault_kind kind, bool is_begin) {
    constexpr int look_ms = 1500;
    constexpr int shorter_look_ms = 1000;
    constexpr int book_ms = 800;
    constexpr int shorter_book_ms = 600;
    switch (kind) {
    case fault_kind::add_route:
        is_begin ? add_route(configuration, "later")
                 : remove_named(configuration["routes"], "later");
        break;
    case fault_kind::take_key:
        is_begin ? remove_named(configuration["tenants"], "guest") : add_guest(configuration);
        break;
    case fault_kind::change_timeouts:
        set_timeouts(configuration, is_begin ? shorter_look_ms : look_ms,
                     is_begin ? shorter_book_ms : book_ms);
        break;
    default:
        for (std::uint64_t i = 0; is_begin && i < extra_route_count; ++i) {
            add_route(configuration, "extra-" + std::to_string(i));
        }
        if (!is_begin) {
            remove_named(configuration["routes"], "extra-");
        }
    }
}

} // namespace

planned_work::planned_work(platform_world& world, timeline& times, proxy_list& desk_proxies)
    : world_(world), timeline_(times), desk_proxies_(desk_proxies) {
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        listings_[world.plain_servers[i]->id()] = {"desk", platform_world::zone_names.at(i)};
        listings_[world.engines[i]->id()] = {"drafts", platform_world::zone_names.at(i)};
    }
}

void planned_work::announce_first_configuration(const std::string& origin) {
    for (const auto* servers : {&world_.engines, &world_.plain_servers}) {
        for (const auto& server : *servers) {
            put_row(*server);
        }
    }
    timeline_.propose(state_, now());
    world_.edit_configuration([&](json& configuration) {
        add_guest(configuration);
        for (auto& service : configuration["services"]) {
            if (service.contains("origin")) {
                service["origin"] = origin;
            }
        }
    });
    timeline_.acknowledge(now());
}

void planned_work::begin(const planned_fault& work) {
    switch (work.target) {
    case target_kind::configuration:
        change_configuration(work, true);
        break;
    case target_kind::weights:
        world_.set_weights_version(++weights_version_);
        break;
    case target_kind::membership:
        begin_leaving(work);
        break;
    default:
        evacuate(work, true);
    }
}

void planned_work::end(const planned_fault& work) {
    switch (work.target) {
    case target_kind::configuration:
        change_configuration(work, false);
        break;
    case target_kind::weights:
        break;
    case target_kind::membership:
        end_leaving(work);
        break;
    default:
        evacuate(work, false);
    }
}

void planned_work::update_engine_rows() {
    for (const auto& engine : world_.engines) {
        auto& listed = listings_[engine->id()];
        if (listed.is_listed && engine->version() != listed.weights) {
            put_row(*engine);
        }
    }
}

platform_server& planned_work::server_of(const planned_fault& work) {
    return work.index == 0 ? *world_.plain_servers.at(zone_of(work))
                           : *world_.engines.at(zone_of(work));
}

void planned_work::put_row(const platform_server& server) {
    auto& listed = listings_[server.id()];
    listed.weights = server.version();
    listed.is_listed = true;
    world_.put_server_row(server, listed.service, listed.zone, listed.state, listed.started_at);
}

void planned_work::change_configuration(const planned_fault& work, bool is_begin) {
    if (work.kind == fault_kind::add_route) {
        state_.has_later_route = is_begin;
    } else if (work.kind == fault_kind::take_key) {
        state_.has_guest_key = !is_begin;
    }
    timeline_.propose(state_, now());
    world_.edit_configuration(
        [&](json& configuration) { change(configuration, work.kind, is_begin); });
    timeline_.acknowledge(now());
}

void planned_work::begin_leaving(const planned_fault& work) {
    auto& server = server_of(work);
    auto& listed = listings_[server.id()];
    if (announcement_of(work) == announcement::missing_row) {
        listed.is_listed = false;
        world_.store.remove("servers", server.id());
    } else {
        server.is_leaving = announcement_of(work) == announcement::row_and_answers;
        listed.state = "draining";
        put_row(server);
    }
    timeline_.close_server(server.id(), leaving, leaving_bound, now());
}

/// A plain server comes back at another address. An engine stays on its machine, without weights.
void planned_work::end_leaving(const planned_fault& work) {
    auto& server = server_of(work);
    auto& listed = listings_[server.id()];
    world_.store.remove("servers", server.id());
    timeline_.open_server(server.id(), leaving);
    if (work.index == 0) {
        auto& proxy = desk_proxies_.at(zone_of(work));
        proxy = std::make_unique<fault_proxy>(server.address());
        world_.set_server_address(server, proxy->address());
    } else {
        server.lose_power();
    }
    server.is_leaving = false;
    listed.state = "ready";
    ++listed.started_at;
    put_row(server);
}

void planned_work::evacuate(const planned_fault& work, bool is_begin) {
    const std::size_t zone = zone_of(work);
    const std::string key = std::string("evacuate/") + platform_world::zone_names.at(zone);
    const std::array<std::string, service_count> servers{world_.plain_servers[zone]->id(),
                                                         world_.engines[zone]->id()};
    if (is_begin) {
        world_.store.put("op", key, "{}");
    }
    for (const auto& server : servers) {
        if (is_begin) {
            timeline_.close_server(server, evacuated, evacuation_bound, now());
        } else {
            timeline_.open_server(server, evacuated);
        }
    }
    if (!is_begin) {
        world_.store.remove("op", key);
    }
}

} // namespace citronseam::soak
