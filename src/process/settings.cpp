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

constexpr std::uint64_t max_threads = 64;
/// Default for the memory in which a sidecar holds weight chunks; its machine has about 128 MB in
/// total.
constexpr std::uint64_t default_node_weight_memory_bytes = 32 * mebibyte;
constexpr std::uint64_t max_entries_per_agent = 64;

std::string read_address(yaml_mapping_reader& reader, const std::string& key) {
    std::string address = reader.required_text(key);
    if (!address.empty()) {
        const auto parsed = parse_host_port(address);
        if (!parsed) {
            reader.report(key, parsed.error().message);
        }
    }
    return address;
}

std::string read_url(yaml_mapping_reader& reader, const std::string& key) {
    std::string url = reader.required_text(key);
    if (!url.empty() && url.rfind("http://", 0) != 0 && url.rfind("https://", 0) != 0) {
        reader.report(key,
                      "expected a URL that starts with http:// or https://, found '" + url + "'");
    }
    return url;
}

void read_platform(yaml_mapping_reader& reader, platform_settings& platform) {
    platform.table_service = read_url(reader, "table_service");
    platform.object_store = read_url(reader, "object_store");
    platform.weight_store = read_url(reader, "weight_store");
    platform.instance_list = read_url(reader, "instance_list");
}

void read_control(yaml_mapping_reader& reader, control_settings& control) {
    control.heartbeat_interval =
        reader.duration_or("heartbeat_interval", control.heartbeat_interval);
    control.silence_timeout = reader.duration_or("silence_timeout", control.silence_timeout);
    control.store_poll_interval = reader.duration_or("store_poll", control.store_poll_interval);
    control.list_poll_interval = reader.duration_or("list_poll", control.list_poll_interval);
    control.key_sweep_interval = reader.duration_or("key_sweep", control.key_sweep_interval);
    control.entries_per_agent = static_cast<std::uint32_t>(
        reader.number_or("entries_per_agent", control.entries_per_agent, 1, max_entries_per_agent));
    if (control.silence_timeout < 2 * control.heartbeat_interval) {
        reader.report("silence_timeout", "must be at least twice heartbeat_interval");
    }
    if (control.heartbeat_interval.count() == 0 || control.store_poll_interval.count() == 0 ||
        control.list_poll_interval.count() == 0 || control.key_sweep_interval.count() == 0) {
        reader.report("heartbeat_interval", "intervals must be longer than zero");
    }
}

void read_bounds(yaml_mapping_reader& reader, node_settings& node) {
    node.retry_ratio = reader.decimal_or("retry_ratio", node.retry_ratio);
    node.retry_slack = reader.decimal_or("retry_slack", node.retry_slack);
    node.retry_window = reader.duration_or("retry_window", node.retry_window);
    node.cold_rate_factor = reader.decimal_or("cold_factor", node.cold_rate_factor);
    node.cold_rate_slack = reader.decimal_or("cold_slack", node.cold_rate_slack);
    node.configuration_due = reader.duration_or("configuration_due", node.configuration_due);
    node.server_removal_due = reader.duration_or("removal_due", node.server_removal_due);
    if (node.server_removal_due.count() == 0) {
        reader.report("removal_due", "must be longer than zero");
    }
    node.weights_switch_deadline = reader.duration_or("weights_due", node.weights_switch_deadline);
    node.settling_time = reader.duration_or("contact", node.settling_time);
    node.grace_period = reader.duration_or("grace_period", node.grace_period);
    node.max_directory_response_lifetime =
        reader.duration_or("longest_lifetime", node.max_directory_response_lifetime);
}

void read_zones(yaml_mapping_reader& reader, node_settings& node) {
    reader.mapping_list("zones", [&](yaml_mapping_reader& zone) {
        const std::string name = zone.required_text("name");
        node.region_of_zone[name] = zone.required_text("region");
    });
}

/// Reads the settings of gateways and sidecars.
void read_node(yaml_mapping_reader& reader, settings& value) {
    const bool is_gateway = value.role == process_role::gateway;
    value.node.region = reader.required_text("region");
    value.node.store_address = read_address(reader, "store");
    value.node.seed_addresses = reader.text_list("seeds");
    read_zones(reader, value.node);
    value.node.region_of_zone.emplace(value.availability_zone, value.node.region);
    reader.mapping("bounds", [&](yaml_mapping_reader& bounds) { read_bounds(bounds, value.node); });
    reader.mapping("listen", [&](yaml_mapping_reader& listen) {
        value.peer_address = read_address(listen, "peer");
        value.operator_address = read_address(listen, "operator");
        if (is_gateway) {
            value.http_address = read_address(listen, "http");
            value.node.readiness_address = read_address(listen, "readiness");
            value.node.directory_address = read_address(listen, "directory");
        }
    });
    if (!reader.has("listen")) {
        reader.report("listen", "the addresses to listen on are required here and are missing");
    }
    reader.mapping("backend_server", [&](yaml_mapping_reader& server) {
        value.backend_server.service = server.required_text("service");
        value.backend_server.address = read_address(server, "address");
    });
    if (!is_gateway && !reader.has("backend_server")) {
        reader.report("backend_server", "a sidecar needs its backend server and it is missing");
    }
    value.node.memory_bytes = reader.size_or("memory", value.node.memory_bytes);
    value.weight_memory_bytes = reader.size_or("weight_memory", default_node_weight_memory_bytes);
    value.peer_link_bytes_per_second =
        reader.rate_or("peer_link", value.peer_link_bytes_per_second);
}

void read_root(yaml_mapping_reader& reader, settings& value) {
    const std::string role = reader.required_choice("role", all_names(role_names));
    value.role = find_value(role_names, role).value_or(process_role::entry);
    value.instance = reader.required_text("instance");
    value.availability_zone = reader.required_text("availability_zone");
    if (value.role == process_role::gateway || value.role == process_role::sidecar) {
        read_node(reader, value);
        return;
    }
    reader.mapping("listen", [&](yaml_mapping_reader& listen) {
        value.peer_address = read_address(listen, "peer");
        if (listen.has("peer_advertised")) {
            value.advertised_peer_address = read_address(listen, "peer_advertised");
        }
        value.operator_address = read_address(listen, "operator");
        if (value.role == process_role::entry) {
            value.http_address = read_address(listen, "http");
        }
    });
    if (!reader.has("listen")) {
        reader.report("listen", "the addresses to listen on are required here and are missing");
    }
    reader.mapping("platform",
                   [&](yaml_mapping_reader& platform) { read_platform(platform, value.platform); });
    if (!reader.has("platform")) {
        reader.report("platform", "the platform's addresses are required here and are missing");
    }
    reader.mapping("control",
                   [&](yaml_mapping_reader& control) { read_control(control, value.control); });
    reader.mapping("backend_server", [&](yaml_mapping_reader& server) {
        value.backend_server.service = server.required_text("service");
        value.backend_server.address = read_address(server, "address");
    });
    if (value.role == process_role::agent && !reader.has("backend_server")) {
        reader.report("backend_server", "an agent needs its backend server and it is missing");
    }
    if (value.role == process_role::entry && reader.has("backend_server")) {
        reader.report("backend_server", "an entry has no backend server of its own");
    }
    value.traffic_threads = static_cast<std::uint32_t>(
        reader.number_or("traffic_threads", value.traffic_threads, 1, max_threads));
    value.http_threads = static_cast<std::uint32_t>(
        reader.number_or("http_threads", value.http_threads, 1, max_threads));
    value.weight_memory_bytes = reader.size_or("weight_memory", value.weight_memory_bytes);
    value.peer_link_bytes_per_second =
        reader.rate_or("peer_link", value.peer_link_bytes_per_second);
}

} // namespace

std::string_view name(process_role role) noexcept {
    return find_name(role_names, role);
}

file_result<settings> parse_settings(const std::string& content, const std::string& file) {
    file_result<settings> parsed;
    parsed.value.file = file;
    read_yaml(content, file, parsed.problems,
              [&](yaml_mapping_reader& reader) { read_root(reader, parsed.value); });
    return parsed;
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
