#include "support/platform_world.h"

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include <asio.hpp>

#include "support/standin_http.h"

namespace citronseam::harness {
namespace {

using nlohmann::json;

const std::string daemon_path = std::string(CITRONSEAM_BIN_DIR) + "/citronseamd";
constexpr milliseconds start_timeout{10000};

/// A block of ports reserved for this test process. The blocks lie below the kernel's ephemeral
/// port range. The first port of the block stays bound for the lifetime of the process, so that
/// other test processes skip the whole block.
class port_block {
public:
    port_block() : reservation_(context_) {
        for (std::uint32_t offset = 0; offset < block_count; ++offset) {
            first_port_ = lowest_port + (static_cast<std::uint32_t>(getpid()) + offset) %
                                            block_count * ports_per_block;
            if (try_bind(reservation_, first_port_)) {
                reservation_.listen();
                return;
            }
        }
        throw std::runtime_error("all port blocks are in use");
    }

    /// @return a port of the block that is not in use
    std::uint16_t next() {
        while (true) {
            last_offset_ = last_offset_ % (ports_per_block - 1) + 1;
            asio::ip::tcp::acceptor acceptor(context_);
            if (try_bind(acceptor, first_port_ + last_offset_)) {
                return static_cast<std::uint16_t>(first_port_ + last_offset_);
            }
        }
    }

private:
    static constexpr std::uint32_t lowest_port = 12000;
    static constexpr std::uint32_t ports_per_block = 400;
    static constexpr std::uint32_t block_count = 50;

    static bool try_bind(asio::ip::tcp::acceptor& acceptor, std::uint32_t port) {
        asio::error_code error;
        acceptor.close(error);
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.bind({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)},
                      error);
        return !error;
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor reservation_;
    std::uint32_t first_port_{0};
    std::uint32_t last_offset_{0};
};

json make_server_entry(const std::string& service, const std::string& address,
                       const std::string& zone, const std::string& state) {
    return {{"service", service}, {"address", address}, {"zone", zone}, {"version", "v1"},
            {"slots", 4},         {"state", state},     {"cold_ms", 0}, {"sequence", 1}};
}

json make_layers(std::uint64_t weights) {
    return json::array({{{"from", 0}, {"target", 1}, {"version", weights}}});
}

} // namespace

std::uint16_t free_port() {
    static port_block block;
    return block.next();
}

platform_world::platform_world(std::size_t gateways_per_zone)
    : directory_(std::filesystem::temp_directory_path() /
                 ("citronseam-platform-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(directory_);
    for (const std::string zone : zone_names) {
        engines.push_back(std::make_unique<platform_server>("engine-" + zone, true));
        plain_servers.push_back(std::make_unique<platform_server>("desk-" + zone, false));
        sidecar_ports_.push_back(free_port());
        sidecar_operator_ports_.push_back(free_port());
        sidecar_stores_.push_back(store.address());
        put_server_row(*engines.back(), "drafts", zone);
        put_server_row(*plain_servers.back(), "desk", zone);
    }
    for (std::size_t i = 0; i < zone_count * gateways_per_zone; ++i) {
        ports_.push_back({free_port(), free_port(), free_port(), free_port(), free_port()});
        gateway_stores_.push_back(store.address());
    }
    put_configuration(1);
}

platform_world::~platform_world() {
    gateways_.clear();
    sidecars_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void platform_world::put_server_row(const platform_server& server, const std::string& service,
                                    const std::string& zone, const std::string& state,
                                    std::uint64_t started_at) {
    json entry = make_server_entry(service, address_of(server), zone, state);
    if (service == "drafts") {
        const std::uint64_t weights = server.version();
        entry["layers"] = weights == 0 ? json::array() : make_layers(weights);
    }
    if (started_at > 0) {
        entry["born"] = started_at;
    }
    store.put("servers", server.id(), entry.dump());
}

void platform_world::put_foreign_server_row(const std::string& id, const std::string& address,
                                            const std::string& service, std::uint64_t weights) {
    json entry = make_server_entry(service, address, zone_names[0], "ready");
    if (weights > 0) {
        entry["layers"] = make_layers(weights);
    }
    store.put("servers", id, entry.dump());
}

void platform_world::set_sidecar_store(std::size_t sidecar, std::string address) {
    sidecar_stores_.at(sidecar) = std::move(address);
}

void platform_world::set_gateway_store(std::size_t gateway, std::string address) {
    gateway_stores_.at(gateway) = std::move(address);
}

void platform_world::set_server_address(const platform_server& server, const std::string& address) {
    server_addresses_[server.id()] = address;
    const std::string value = store.value("servers", server.id());
    if (!value.empty()) {
        json entry = json::parse(value);
        entry["address"] = address;
        store.put("servers", server.id(), entry.dump());
    }
}

std::string platform_world::address_of(const platform_server& server) const {
    const auto found = server_addresses_.find(server.id());
    return found == server_addresses_.end() ? server.address() : found->second;
}

std::uint64_t platform_world::put_configuration(std::uint64_t version, bool has_second_route,
                                                std::size_t tenant_count) {
    json routes = json::array({{{"name", "draft"},
                                {"host", "a.example"},
                                {"prefix", "/draft/"},
                                {"type", "streaming"},
                                {"resumable", true},
                                {"timeout_ms", 6000},
                                {"slo_ms", 400},
                                {"gap_slo_ms", 300},
                                {"priority", 1},
                                {"service", "drafts"},
                                {"max_attempts", 2}},
                               {{"name", "book"},
                                {"host", "a.example"},
                                {"prefix", "/book/"},
                                {"type", "non_idempotent"},
                                {"timeout_ms", 800},
                                {"slo_ms", 100},
                                {"priority", 2},
                                {"service", "desk"},
                                {"max_attempts", 1}},
                               {{"name", "look"},
                                {"host", "a.example"},
                                {"prefix", "/look/"},
                                {"type", "idempotent"},
                                {"timeout_ms", 1500},
                                {"slo_ms", 100},
                                {"priority", 2},
                                {"service", "desk"},
                                {"max_attempts", 3}},
                               {{"name", "draft-once"},
                                {"host", "a.example"},
                                {"prefix", "/draft-once/"},
                                {"type", "streaming"},
                                {"timeout_ms", 6000},
                                {"slo_ms", 400},
                                {"gap_slo_ms", 300},
                                {"priority", 1},
                                {"service", "drafts"},
                                {"max_attempts", 2}}});
    if (has_second_route) {
        json second_route = routes[1];
        second_route["prefix"] = "/later/";
        second_route["name"] = "later";
        routes.push_back(second_route);
    }
    const json engine = {{"slots", 4},
                         {"step_ms", 7.4},
                         {"per_seq_ms", 0.04},
                         {"read_per_s", 31900},
                         {"layers", 1},
                         {"chunks", weight_origin::piece_count},
                         {"chunk_bytes", weight_origin::piece_bytes},
                         {"usual", {{"prompt", 100}, {"answer", 20}}},
                         {"models", json::array({{{"name", standin_model}, {"warm_s", 0.2}}})}};
    const json services =
        json::array({{{"name", "drafts"}, {"cold_s", 1.0}, {"cold_per_s", 0.0}, {"engine", engine}},
                     {{"name", "desk"}},
                     {{"name", "ledger"}, {"origin", origin.address()}, {"zone", "zone-a"}}});
    json tenants = json::array({{{"name", "team"}, {"api_keys", {api_key}}, {"priority", 1}}});
    for (std::size_t i = 1; i < tenant_count; ++i) {
        const std::string number = std::to_string(i);
        tenants.push_back(
            {{"name", "team-" + number}, {"api_keys", {"key-of-team-" + number}}, {"priority", 1}});
    }
    return store.put(
        "op", "config",
        json{{"version", version}, {"routes", routes}, {"services", services}, {"tenants", tenants}}
            .dump());
}

std::uint64_t platform_world::edit_configuration(const std::function<void(json&)>& edit) {
    json configuration = json::parse(store.value("op", "config"));
    configuration["version"] = configuration["version"].get<std::uint64_t>() + 1;
    edit(configuration);
    return store.put("op", "config", configuration.dump());
}

void platform_world::set_weights_version(std::uint64_t version) {
    store.put("op", std::string("version/") + standin_model,
              json{{"model", standin_model}, {"version", version}}.dump());
}

std::string platform_world::region_settings(std::size_t index) const {
    const bool is_second_zone = index % zone_count == 1;
    return (memory_.empty() ? "" : "\nmemory: " + memory_) +
           "\navailability_zone: " + std::string(zone_names[index % zone_count]) +
           "\nregion: " + (is_second_zone ? second_region_ : "region-a") +
           "\nzones:\n  - name: zone-a\n    region: region-a\n  - name: zone-b\n    region: " +
           second_region_;
}

std::string platform_world::gateway_settings(std::size_t index) const {
    const ports& own_ports = ports_[index];
    return "role: gateway\ninstance: gateway-" + std::to_string(index) + region_settings(index) +
           "\nstore: " + gateway_stores_[index] +
           "\nbounds:\n  configuration_due: 4s\n  weights_due: " +
           std::to_string(weights_due_.count()) +
           "ms\n  grace_period: " + std::to_string(grace_period_.count()) + "s" +
           (retry_ratio_ ? "\n  retry_ratio: " + std::to_string(*retry_ratio_) : "") +
           "\nlisten:\n  http: " + loopback_address(own_ports.http) +
           "\n  readiness: " + loopback_address(own_ports.readiness) +
           "\n  directory: " + loopback_address(own_ports.directory) +
           "\n  peer: " + loopback_address(own_ports.peer) +
           "\n  operator: " + loopback_address(own_ports.metrics) + "\n";
}

std::string platform_world::sidecar_settings(std::size_t index) const {
    return "role: sidecar\ninstance: sidecar-" + std::to_string(index) + region_settings(index) +
           "\nstore: " + sidecar_stores_[index] +
           "\nbounds:\n  weights_due: " + std::to_string(weights_due_.count()) +
           "ms\nbackend_server:\n  service: drafts\n  address: " + address_of(*engines[index]) +
           "\nlisten:\n  peer: " + loopback_address(sidecar_ports_[index]) +
           "\n  operator: " + loopback_address(sidecar_operator_ports_[index]) + "\n";
}

std::string platform_world::write_file(const std::string& name, const std::string& content) {
    std::string path = directory_ + "/" + name;
    std::ofstream(path) << content;
    return path;
}

std::unique_ptr<child_process> platform_world::make_daemon(const std::string& settings_file) const {
    std::vector<std::string> arguments;
    if (descriptor_limit_ > 0) {
        arguments = {"/bin/sh", "-c",
                     "ulimit -n " + std::to_string(descriptor_limit_) + " && exec \"$0\" \"$@\""};
    }
    arguments.insert(arguments.end(), {daemon_path, "--settings", settings_file});
    return std::make_unique<child_process>(std::move(arguments));
}

std::unique_ptr<child_process> platform_world::make_gateway(std::size_t index) {
    return make_daemon(
        write_file("gateway-" + std::to_string(index) + ".yaml", gateway_settings(index)));
}

std::unique_ptr<child_process> platform_world::make_sidecar(std::size_t index) {
    return make_daemon(
        write_file("sidecar-" + std::to_string(index) + ".yaml", sidecar_settings(index)));
}

void platform_world::restart_sidecar(std::size_t index) {
    sidecars_.at(index).reset();
    sidecars_.at(index) = make_sidecar(index);
}

void platform_world::replace_gateway(std::size_t index) {
    gateways_.at(index).reset();
    gateways_.at(index) = make_gateway(index);
}

bool platform_world::restart_gateway(std::size_t index) {
    replace_gateway(index);
    return wait_until([&] { return readiness(index) == 200; }, start_timeout);
}

bool platform_world::start() {
    for (std::size_t i = 0; i < ports_.size(); ++i) {
        gateways_.push_back(make_gateway(i));
        if (i < sidecar_ports_.size()) {
            sidecars_.push_back(make_sidecar(i));
        }
    }
    return wait_until(
        [this] {
            for (std::size_t i = 0; i < ports_.size(); ++i) {
                if (readiness(i) != 200) {
                    return false;
                }
            }
            return true;
        },
        start_timeout);
}

http_response platform_world::execute(http_request request) {
    return fetch_blocking(client_, std::move(request), mebibyte);
}

http_response platform_world::call(std::size_t gateway, const std::string& method,
                                   const std::string& path, std::vector<http_header> headers) {
    http_request request;
    request.method = method;
    request.url = "http://" + loopback_address(ports_[gateway].http) + path;
    headers.push_back({"Host", "a.example"});
    headers.push_back({"X-Citronseam-Attempt-Id", "attempt-" + std::to_string(++attempt_count_)});
    headers.push_back({"X-Citronseam-Deadline-Ms", "4000"});
    request.headers = std::move(headers);
    return execute(std::move(request));
}

std::string platform_world::peer_address(std::size_t gateway) const {
    return loopback_address(ports_.at(gateway).peer);
}

http_response platform_world::resolve(std::size_t gateway, const std::string& zone) {
    http_request request;
    request.url = "http://" + loopback_address(ports_[gateway].directory) +
                  "/resolve?name=a.example&region=region-a&zone=" + zone;
    return execute(std::move(request));
}

int platform_world::readiness(std::size_t gateway) {
    http_request request;
    request.url = "http://" + loopback_address(ports_[gateway].readiness) + "/readyz";
    return execute(std::move(request)).outcome.status;
}

} // namespace citronseam::harness
