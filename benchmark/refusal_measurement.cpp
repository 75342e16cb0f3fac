// Processor time of a gateway for each request that it refuses or serves.
#include <cstdint>
#include <functional>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>

#include <asio.hpp>

#include "measurements.h"
#include "process_usage.h"
#include "support/platform_world.h"

namespace citronseam::measurement {
namespace {

using namespace citronseam::harness;
using asio::ip::tcp;

constexpr seconds settling_time{3};
/// Requests that are under way together, as when a busy gateway returns to its sockets.
constexpr int requests_in_a_round = 32;
constexpr int round_count = 150;
/// Slow enough that the limit on log lines leaves none out.
constexpr milliseconds logged_round_interval{200};
constexpr int logged_round_count = 30;
constexpr int idle_connection_count = 1000;
/// Open files of a gateway that its callers' idle connections would use up.
constexpr rlim_t few_descriptors = 300;
constexpr int excess_connection_count = 200;
constexpr seconds idle_time{4};
constexpr double microseconds_per_second = 1e6;

/// How callers send and what they get.
struct request_load {
    const char* name;
    const char* path;
    const char* key;
    bool has_kept_connections;
    bool is_each_logged; ///< sent so slowly that each request leaves a log line
};

constexpr const char* known_key = platform_world::api_key;
constexpr const char* revoked_key = "key-that-was-revoked";

constexpr request_load loads[]{
    {"refused, kept connection", "/spare/1", known_key, true, false},
    {"refused, kept connection, logged", "/spare/1", known_key, true, true},
    {"refused, new connection", "/spare/1", known_key, false, false},
    {"refused, new connection, logged", "/spare/1", known_key, false, true},
    {"unknown key, kept connection", "/look/1", revoked_key, true, false},
    {"unknown key, kept connection, logged", "/look/1", revoked_key, true, true},
    {"unknown key, new connection", "/look/1", revoked_key, false, false},
    {"no route, kept connection", "/none/1", known_key, true, false},
    {"served, kept connection", "/look/1", known_key, true, false},
    {"served, kept connection, logged", "/look/1", known_key, true, true},
    {"served, new connection", "/look/1", known_key, false, false},
};

/// The callers of a gateway, in one thread.
class caller_group {
public:
    caller_group(std::uint16_t port, const request_load& load)
        : gateway_(asio::ip::make_address("127.0.0.1"), port), load_(load) {
        for (int i = 0; i < requests_in_a_round; ++i) {
            callers_.emplace_back(loop_);
        }
    }

    /// Sends one request of each caller and waits for all answers.
    void run_round() {
        for (auto& caller : callers_) {
            if (!caller.is_open()) {
                caller.connect(gateway_);
                caller.set_option(tcp::no_delay(true));
            }
            asio::write(caller, asio::buffer(make_request()));
        }
        for (auto& caller : callers_) {
            std::string answer;
            const std::size_t head_size =
                asio::read_until(caller, asio::dynamic_buffer(answer), "\r\n\r\n");
            const std::string length = "Content-Length: ";
            const std::size_t body_size =
                std::stoul(answer.substr(answer.find(length) + length.size()));
            const std::size_t missing = head_size + body_size - answer.size();
            asio::read(caller, asio::dynamic_buffer(answer), asio::transfer_exactly(missing));
            ++(answer.starts_with("HTTP/1.1 200") ? served_ : refused_);
            if (!load_.has_kept_connections) {
                caller.close();
            }
        }
    }

    int served() const noexcept { return served_; }
    int refused() const noexcept { return refused_; }

private:
    std::string make_request() {
        return std::string("GET ") + load_.path +
               " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + load_.key +
               "\r\nX-Citronseam-Attempt-Id: refusal-" + std::to_string(++sent_) +
               "\r\nX-Citronseam-Deadline-Ms: 1400\r\n\r\n";
    }

    asio::io_context loop_;
    tcp::endpoint gateway_;
    request_load load_;
    std::vector<tcp::socket> callers_;
    int sent_{0};
    int served_{0};
    int refused_{0};
};

/// Adds a route to a service whose only server drains.
void add_spare_route(platform_world& platform) {
    platform.edit_configuration([](nlohmann::json& configuration) {
        nlohmann::json spare = configuration["routes"][2];
        spare["name"] = "spare";
        spare["prefix"] = "/spare/";
        spare["service"] = "spare";
        configuration["routes"].push_back(spare);
        configuration["services"].push_back({{"name", "spare"}});
    });
    platform.store.put("servers", "spare-1",
                       nlohmann::json{{"service", "spare"},
                                      {"address", "127.0.0.1:9"},
                                      {"zone", "zone-a"},
                                      {"version", "v1"},
                                      {"slots", 4},
                                      {"state", "draining"},
                                      {"cold_ms", 0},
                                      {"sequence", 1}}
                           .dump());
}

/// @return share of a core that a process uses
double idle_share(int pid) {
    const double before_s = read_scheduled_seconds(pid);
    std::this_thread::sleep_for(idle_time);
    return (read_scheduled_seconds(pid) - before_s) / static_cast<double>(idle_time.count());
}

/// @param idle share of a core that the gateway uses without requests, which is left out
void measure_load(platform_world& platform, const request_load& load, double idle) {
    caller_group callers(platform.http_port(0), load);
    callers.run_round();
    const int warm_up = callers.served() + callers.refused();
    const double before_s = read_scheduled_seconds(platform.gateway(0).pid());
    const auto began_at = std::chrono::steady_clock::now();
    for (int i = 0; i < (load.is_each_logged ? logged_round_count : round_count); ++i) {
        callers.run_round();
        if (load.is_each_logged) {
            std::this_thread::sleep_for(logged_round_interval);
        }
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - began_at;
    const double used_s = read_scheduled_seconds(platform.gateway(0).pid()) - before_s;
    const int count = callers.served() + callers.refused() - warm_up;
    std::cout << "| " << load.name << " | " << callers.refused() << " | " << callers.served()
              << " | " << microseconds_per_second * (used_s - idle * elapsed.count()) / count
              << " |" << std::endl;
}

/// @return share of a core that a gateway uses while callers keep connections without requests
double idle_share_with_connections(platform_world& platform, int count) {
    asio::io_context loop;
    std::vector<tcp::socket> connections;
    for (int i = 0; i < count; ++i) {
        connections.emplace_back(loop).connect(
            {asio::ip::make_address("127.0.0.1"), platform.http_port(0)});
    }
    return idle_share(platform.gateway(0).pid());
}

void measure_usual_refusals() {
    platform_world platform;
    if (!platform.start()) {
        std::cerr << "the gateways did not become ready\n";
        return;
    }
    add_spare_route(platform);
    std::this_thread::sleep_for(settling_time);
    const int gateway = platform.gateway(0).pid();
    const double idle = idle_share(gateway);
    std::cout
        << "\n### Processor time of a gateway for each request\n\n| load | refused | served | "
           "microseconds a request |\n|---|---|---|---|\n";
    for (const request_load& load : loads) {
        measure_load(platform, load, idle);
    }
    std::cout << "\nIdle: " << microseconds_per_second * idle << " microseconds a second, with "
              << idle_connection_count << " idle connections "
              << microseconds_per_second *
                     idle_share_with_connections(platform, idle_connection_count)
              << std::endl;
}

void measure_used_up_descriptors() {
    rlimit usual{};
    ::getrlimit(RLIMIT_NOFILE, &usual);
    const rlimit lowered{few_descriptors, usual.rlim_max};
    platform_world platform;
    ::setrlimit(RLIMIT_NOFILE, &lowered);
    const bool is_ready = platform.start();
    ::setrlimit(RLIMIT_NOFILE, &usual);
    if (!is_ready) {
        std::cerr << "the gateways did not become ready\n";
        return;
    }
    std::cout << "With " << excess_connection_count << " idle connections and " << few_descriptors
              << " open files: "
              << microseconds_per_second *
                     idle_share_with_connections(platform, excess_connection_count)
              << " microseconds a second\n";
}

} // namespace

void measure_refusals() {
    measure_usual_refusals();
    measure_used_up_descriptors();
}

} // namespace citronseam::measurement
