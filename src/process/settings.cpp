#include "citronseam/process/settings.h"

#include <charconv>

#include "citronseam/process/enum_names.h"
#include "citronseam/process/error.h"
#include "citronseam/process/sizes.h"
#include "citronseam/process/yaml_mapping_reader.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<process_role>, 4> role_names{{
    {process_role::entry, "entry"},
    {process_role::agent, "agent"},
    {process_role::gateway, "gateway"},
    {process_role::sidecar, "sidecar"},
}};

constexpr std::uint64_t most_threads = 64;
/// Pieces of weights that a sidecar keeps by default; its machine has about 128 MB in all.
constexpr std::uint64_t default_node_weight_memory = 32 * mebibyte;
constexpr std::uint64_t most_entries_per_agent = 64;

std::string read_address(yaml_object& object, const std::string& key) {
    std::string address = object.text(key);
    if (!address.empty()) {
        const auto parsed = parse_host_port(address);
        if (!parsed) {
            object.report(key, parsed.error().message);
        }
    }
    return address;
}

std::string read_url(yaml_object& object, const std::string& key) {
    std::string url = object.text(key);
    if (!url.empty() && url.rfind("http://", 0) != 0 && url.rfind("https://", 0) != 0) {
        object.report(key,
                      "expected a URL that starts with http:// or https://, found '" + url + "'");
    }
    return url;
}

void read_platform(yaml_object& object, platform_settings& platform) {
    platform.table_service = read_url(object, "table_service");
    platform.object_store = read_url(object, "object_store");
    platform.weight_store = read_url(object, "weight_store");
    platform.instance_list = read_url(object, "instance_list");
}

void read_control(yaml_object& object, control_settings& control) {
    control.heartbeat_interval =
        object.duration_or("heartbeat_interval", control.heartbeat_interval);
    control.silence_timeout = object.duration_or("silence_timeout", control.silence_timeout);
    control.store_poll = object.duration_or("store_poll", control.store_poll);
    control.list_poll = object.duration_or("list_poll", control.list_poll);
    control.key_sweep = object.duration_or("key_sweep", control.key_sweep);
    control.entries_per_agent = static_cast<std::uint32_t>(object.number_or(
        "entries_per_agent", control.entries_per_agent, 1, most_entries_per_agent));
    if (control.silence_timeout < 2 * control.heartbeat_interval) {
        object.report("silence_timeout", "must be at least twice heartbeat_interval");
    }
    if (control.heartbeat_interval.count() == 0 || control.store_poll.count() == 0 ||
        control.list_poll.count() == 0 || control.key_sweep.count() == 0) {
        object.report("heartbeat_interval", "intervals must be longer than zero");
    }
}

void read_bounds(yaml_object& object, node_settings& node) {
    node.retry_ratio = object.fraction_or("retry_ratio", node.retry_ratio);
    node.retry_slack = object.fraction_or("retry_slack", node.retry_slack);
    node.retry_window = object.duration_or("retry_window", node.retry_window);
    node.cold_factor = object.fraction_or("cold_factor", node.cold_factor);
    node.cold_slack = object.fraction_or("cold_slack", node.cold_slack);
    node.weights_due = object.duration_or("weights_due", node.weights_due);
    node.contact = object.duration_or("contact", node.contact);
    node.grace_period = object.duration_or("grace_period", node.grace_period);
    node.longest_lifetime = object.duration_or("longest_lifetime", node.longest_lifetime);
}

void read_zones(yaml_object& object, node_settings& node) {
    object.objects("zones", [&](yaml_object& zone) {
        const std::string name = zone.text("name");
        node.region_of_zone[name] = zone.text("region");
    });
}

/// Settings of gateways and sidecars.
void read_node(yaml_object& object, settings& value) {
    const bool is_gateway = value.role == process_role::gateway;
    value.node.region = object.text("region");
    value.node.store_address = read_address(object, "store");
    value.node.seed_addresses = object.texts("seeds");
    read_zones(object, value.node);
    value.node.region_of_zone.emplace(value.availability_zone, value.node.region);
    object.object("bounds", [&](yaml_object& bounds) { read_bounds(bounds, value.node); });
    object.object("listen", [&](yaml_object& listen) {
        value.peer_address = read_address(listen, "peer");
        value.operator_address = read_address(listen, "operator");
        if (is_gateway) {
            value.http_address = read_address(listen, "http");
            value.node.readiness_address = read_address(listen, "readiness");
            value.node.directory_address = read_address(listen, "directory");
        }
    });
    if (!object.has("listen")) {
        object.report("listen", "the addresses to listen on are required here and are missing");
    }
    object.object("backend_server", [&](yaml_object& server) {
        value.backend_server.service = server.text("service");
        value.backend_server.address = read_address(server, "address");
    });
    if (!is_gateway && !object.has("backend_server")) {
        object.report("backend_server", "a sidecar needs its backend server and it is missing");
    }
    value.weight_memory = object.size_or("weight_memory", default_node_weight_memory);
    value.peer_link = object.rate_or("peer_link", value.peer_link);
}

void read_root(yaml_object& object, settings& value) {
    const std::string role = object.choice("role", all_names(role_names));
    value.role = find_value(role_names, role).value_or(process_role::entry);
    value.instance = object.text("instance");
    value.availability_zone = object.text("availability_zone");
    if (value.role == process_role::gateway || value.role == process_role::sidecar) {
        read_node(object, value);
        return;
    }
    object.object("listen", [&](yaml_object& listen) {
        value.peer_address = read_address(listen, "peer");
        if (listen.has("peer_advertised")) {
            value.advertised_peer_address = read_address(listen, "peer_advertised");
        }
        value.operator_address = read_address(listen, "operator");
        if (value.role == process_role::entry) {
            value.http_address = read_address(listen, "http");
        }
    });
    if (!object.has("listen")) {
        object.report("listen", "the addresses to listen on are required here and are missing");
    }
    object.object("platform",
                  [&](yaml_object& platform) { read_platform(platform, value.platform); });
    if (!object.has("platform")) {
        object.report("platform", "the platform's addresses are required here and are missing");
    }
    object.object("control", [&](yaml_object& control) { read_control(control, value.control); });
    object.object("backend_server", [&](yaml_object& server) {
        value.backend_server.service = server.text("service");
        value.backend_server.address = read_address(server, "address");
    });
    if (value.role == process_role::agent && !object.has("backend_server")) {
        object.report("backend_server", "an agent needs its backend server and it is missing");
    }
    if (value.role == process_role::entry && object.has("backend_server")) {
        object.report("backend_server", "an entry has no backend server of its own");
    }
    value.traffic_threads = static_cast<std::uint32_t>(
        object.number_or("traffic_threads", value.traffic_threads, 1, most_threads));
    value.http_threads = static_cast<std::uint32_t>(
        object.number_or("http_threads", value.http_threads, 1, most_threads));
    value.weight_memory = object.size_or("weight_memory", value.weight_memory);
    value.peer_link = object.rate_or("peer_link", value.peer_link);
}

} // namespace

std::string_view name(process_role role) noexcept {
    return find_name(role_names, role);
}

file_result<settings> parse_settings(const std::string& content, const std::string& file) {
    file_result<settings> read;
    read.value.file = file;
    read_yaml(content, file, read.problems,
              [&](yaml_object& object) { read_root(object, read.value); });
    return read;
}

result<host_port> parse_host_port(std::string_view text) {
    const auto colon = text.rfind(':');
    host_port parsed;
    if (colon != std::string_view::npos && colon > 0) {
        parsed.host = std::string(text.substr(0, colon));
        const char* end = text.data() + text.size();
        const auto [rest, problem] = std::from_chars(text.data() + colon + 1, end, parsed.port);
        if (problem == std::errc{} && rest == end) {
            return parsed;
        }
    }
    return failure(error_code::invalid_argument,
                   "expected an address of the form 127.0.0.1:8080, found '" + std::string(text) +
                       "'");
}

} // namespace citronseam
