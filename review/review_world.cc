#include "review_world.hh"

#include <cstdlib>
#include <filesystem>
#include <random>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "citronseam/process/sizes.h"

#include "support/standin_http.h"

namespace citronseam::review {
namespace {

using nlohmann::json;

/// The command of the deploy file, run in the repository's root.
constexpr const char* daemon_path = "target/bin/citronseamd";
constexpr milliseconds start_timeout{15000};
/// The platform starts a process that has ended again after a short delay.
constexpr milliseconds restart_delay{500};

const std::vector<std::string> site_zones{"nord-tunis", "sahel-sfax", "sud-gabes"};

std::string region_of(const std::string& zone) {
    return zone.substr(0, zone.find('-'));
}

} // namespace

bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::uint16_t free_port() {
    static std::mutex mutex;
    static std::set<std::uint16_t> used;
    const std::lock_guard<std::mutex> lock(mutex);
    // Below the ephemeral range, so that no outgoing connection takes the port meanwhile.
    static std::uint16_t next =
        static_cast<std::uint16_t>(13000 + (static_cast<unsigned>(getpid()) * 97U) % 18000U);
    while (true) {
        next = next >= 31900 ? 13000 : static_cast<std::uint16_t>(next + 1);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(next);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool is_free =
            ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(socket);
        if (is_free && used.insert(next).second) {
            return next;
        }
    }
}

std::string make_attempt_id() {
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard<std::mutex> lock(mutex);
    std::ostringstream text;
    text << std::hex << random();
    return text.str();
}

bool wait_until(const std::function<bool()>& condition, milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

review_world::review_world(record& log, std::vector<std::string> zones)
    : log_(log), zones_(std::move(zones)),
      directory_(std::filesystem::temp_directory_path() /
                 ("citronseam-review-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(directory_);
    for (std::size_t i = 0; i < zones_.size(); ++i) {
        ports_.push_back({free_port(), free_port(), free_port(), free_port(), free_port()});
    }
}

review_world::~review_world() {
    is_ending_ = true;
    if (heartbeats_.joinable()) {
        heartbeats_.join();
    }
    gateways_.clear(); // kills the processes by their ids
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

listed_standin& review_world::add_server(const std::string& id, const std::string& zone) {
    auto added = std::make_unique<listed_standin>();
    added->server = std::make_unique<harness::platform_server>(id, false);
    added->service = "desk";
    added->zone = zone;
    added->front = std::make_unique<harness::relay>(added->server->address());
    servers.push_back(std::move(added));
    return *servers.back();
}

void review_world::write_entries() {
    const std::lock_guard<std::mutex> lock(entries_mutex_);
    for (const auto& listed : servers) {
        if (!listed->is_listed) {
            continue;
        }
        const json entry = {
            {"service", listed->service},
            {"address", listed->front ? listed->front->address() : listed->server->address()},
            {"zone", listed->zone},
            {"version", "v1"},
            {"slots", 6},
            {"state", listed->state},
            {"cold_ms", listed->cold_ms},
            {"sequence", 1},
            {"born", 1700000000000}};
        store.put("servers", listed->server->id(), entry.dump());
    }
}

void review_world::end_server(listed_standin& listed) {
    const std::lock_guard<std::mutex> lock(entries_mutex_);
    listed.is_listed = false;
    listed.front->set_disconnected(true);
    store.remove("servers", listed.server->id());
}

void review_world::replace_server(listed_standin& listed, const std::string& id,
                                  const std::function<void()>& prepare) {
    {
        const std::lock_guard<std::mutex> lock(entries_mutex_);
        store.remove("servers", listed.server->id());
        // A handler of the old server may be running.
        retired_.push_back(std::move(listed.server));
        retired_fronts_.push_back(std::move(listed.front));
        listed.server = std::make_unique<harness::platform_server>(id, false);
        listed.front = std::make_unique<harness::relay>(listed.server->address());
        prepare();
    }
    write_entries();
}

void review_world::put_engine(const std::string& id, const std::string& address,
                              const std::string& zone) {
    const json entry = {
        {"service", "drafts"},
        {"address", address},
        {"zone", zone},
        {"version", "v1"},
        {"slots", 16},
        {"state", "ready"},
        {"cold_ms", 0},
        {"sequence", 0},
        {"stage", "colocated"},
        {"models", json::array({{{"name", harness::standin_model}, {"version", 1}}})},
        {"layers", json::array({{{"from", 0}, {"target", 16}, {"version", 1}}})},
        {"born", 1700000000000}};
    store.put("servers", id, entry.dump());
}

void review_world::set_cold_rate(double seconds, double requests_per_s) {
    cold_s_ = seconds;
    cold_per_s_ = requests_per_s;
}

void review_world::put_configuration(std::uint64_t version, const std::vector<std::string>& keys) {
    const auto route = [](const char* name, const char* type, int attempts) {
        return json{{"name", name},
                    {"host", "a.example"},
                    {"prefix", std::string("/") + name + "/"},
                    {"type", type},
                    {"timeout_ms", 800},
                    {"slo_ms", 100},
                    {"priority", 2},
                    {"service", "desk"},
                    {"max_attempts", attempts},
                    {"no_auth", false},
                    {"allowed_regions", json::array()}};
    };
    json draft = route("draft", "streaming", 2);
    draft.update(json{{"service", "drafts"},
                      {"timeout_ms", 6000},
                      {"slo_ms", 400},
                      {"gap_slo_ms", 300},
                      {"priority", 1},
                      {"resumable", true},
                      {"sticky", true}});
    const json engine = {
        {"slots", 16},
        {"stride", 6},
        {"step_ms", 7.4},
        {"per_seq_ms", 0.0387},
        {"read_per_s", 31900},
        {"chunk", 2048},
        {"layers", 16},
        {"usual", {{"prompt", 800}, {"answer", 100}}},
        {"models", json::array({{{"name", harness::standin_model}, {"warm_s", 0.3}}})}};
    const json value = {
        {"version", version},
        {"routes",
         json::array({route("look", "idempotent", 2), route("book", "non_idempotent", 1), draft})},
        {"services", json::array({{{"name", "desk"},
                                   {"health_path", "/healthz"},
                                   {"max_conns", 100},
                                   {"cold_s", cold_s_},
                                   {"cold_per_s", cold_per_s_}},
                                  {{"name", "drafts"}, {"max_conns", 424}, {"engine", engine}}})},
        {"tenants", json::array({{{"name", "team"}, {"api_keys", keys}, {"priority", 1}}})}};
    store.put("op", "config", value.dump());
}

std::string review_world::settings_of(std::size_t index) const {
    const ports& own = ports_[index];
    std::ostringstream text;
    text << "role: gateway\ninstance: edge-" << index << "\navailability_zone: " << zones_[index]
         << "\nlisten:\n  http: " << harness::loopback_address(own.http)
         << "\n  readiness: " << harness::loopback_address(own.readiness)
         << "\n  directory: " << harness::loopback_address(own.directory)
         << "\n  peer: " << harness::loopback_address(own.peer)
         << "\n  operator: " << harness::loopback_address(own.metrics)
         << "\nregion: " << region_of(zones_[index]) << "\nstore: " << store.address()
         << "\nseeds: [";
    for (std::size_t i = 0; i < ports_.size() && i < 3; ++i) {
        text << (i > 0 ? "," : "") << harness::loopback_address(ports_[i].peer);
    }
    text << "]\nzones:\n";
    for (const auto& zone : site_zones) {
        text << "  - name: " << zone << "\n    region: " << region_of(zone) << "\n";
    }
    text << "bounds:\n  retry_ratio: 0.2\n  retry_slack: " << budget_slack
         << "\n  retry_window: 10s\n  cold_factor: 1.5\n  cold_slack: 5\n"
            "  configuration_due: 2000ms\n  removal_due: 2000ms\n  weights_due: 8000ms\n"
            "  contact: 3000ms\n  grace_period: 8s\n  longest_lifetime: 5s\n";
    return text.str();
}

std::unique_ptr<harness::child_process> review_world::start_gateway(std::size_t index) {
    const std::string path = directory_ + "/edge-" + std::to_string(index) + ".yaml";
    std::ofstream(path) << settings_of(index);
    auto process = std::make_unique<harness::child_process>(
        std::vector<std::string>{daemon_path, "--settings", path});
    log_.write("edge-" + std::to_string(index) + " (" + zones_[index] + ") started, pid " +
               std::to_string(process->pid()));
    return process;
}

bool review_world::start() {
    write_entries();
    heartbeats_ = std::thread([this] {
        auto next = std::chrono::steady_clock::now() + heartbeat_interval;
        while (!is_ending_) {
            if (std::chrono::steady_clock::now() >= next) {
                next += heartbeat_interval;
                if (!store.is_down) {
                    write_entries();
                }
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
    });
    for (std::size_t i = 0; i < zones_.size(); ++i) {
        gateways_.push_back(start_gateway(i));
    }
    return wait_until_ready(start_timeout);
}

bool review_world::wait_until_ready(milliseconds timeout) {
    return wait_until(
        [this] {
            for (std::size_t i = 0; i < zones_.size(); ++i) {
                if (readiness(i) != 200) {
                    return false;
                }
            }
            return true;
        },
        timeout);
}

void review_world::kill_gateways_and_restart(std::size_t count) {
    log_.write(std::to_string(count) + " of " + std::to_string(gateways_.size()) +
               " gateways are killed (SIGKILL)");
    for (std::size_t i = 0; i < count; ++i) {
        gateways_[i]->send_signal(SIGKILL);
    }
    for (std::size_t i = 0; i < count; ++i) {
        gateways_[i]->wait_for_exit(milliseconds(2000));
    }
    std::this_thread::sleep_for(restart_delay);
    for (std::size_t i = 0; i < count; ++i) {
        gateways_[i] = start_gateway(i);
    }
}

int review_world::readiness(std::size_t index) {
    http_request request;
    request.url = "http://" + harness::loopback_address(ports_.at(index).readiness) + "/readyz";
    request.timeout = milliseconds(1000);
    request.connect_timeout = milliseconds(500);
    return fetch_blocking(client_, std::move(request), mebibyte).outcome.status;
}

http_response review_world::call(std::size_t gateway, const std::string& method,
                                 const std::string& target, const std::string& key,
                                 milliseconds timeout, const std::string& attempt,
                                 const std::string& body) {
    http_request request;
    request.method = method;
    request.url = "http://" + harness::loopback_address(ports_.at(gateway).http) + target;
    request.headers = {{"Host", "a.example"},
                       {"Authorization", "Token " + key},
                       {"X-Citronseam-Attempt-Id", attempt.empty() ? make_attempt_id() : attempt},
                       {"X-Citronseam-Deadline-Ms", std::to_string(timeout.count())}};
    request.body = body;
    request.timeout = timeout;
    request.connect_timeout = milliseconds(1000);
    request.may_be_resent = false;
    return fetch_blocking(client_, std::move(request), mebibyte);
}

} // namespace citronseam::review
