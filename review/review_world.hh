/// @file
/// Gateways as processes of their own, on loopback, with the settings that the deploy file's
/// template gives for benammar-camps. The store and the servers are stand-ins in this process.
#ifndef CITRONSEAM_REVIEW_REVIEW_WORLD_H
#define CITRONSEAM_REVIEW_REVIEW_WORLD_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_client.h"

#include "record.hh"
#include "support/child_process.h"
#include "support/platform_server.h"
#include "support/relay.h"
#include "support/row_store.h"
#include "support/weight_origin.h"

namespace citronseam::review {

/// Bounds of sites/benammar-camps.toml.
inline constexpr milliseconds contact_time{3000};
inline constexpr milliseconds drain_timeout{2000};
inline constexpr milliseconds configuration_due{2000};
inline constexpr milliseconds heartbeat_interval{1200};
inline constexpr int budget_slack = 102;

/// @return whether the case runs with its disruption: the variable TROUBLE is not 0
bool has_trouble();
/// @return a free loopback port
std::uint16_t free_port();
/// @return an id that no other request has
std::string make_attempt_id();

/// Polls a condition until it holds.
/// @return false on timeout
bool wait_until(const std::function<bool()>& condition, milliseconds timeout);

/// A server and what it writes to the store about itself.
struct listed_standin {
    std::unique_ptr<harness::platform_server> server;
    std::string service;
    std::string zone;
    std::string state{"ready"};
    bool is_listed{true};
    int cold_ms{0};                        ///< how long it stays cold, as it says itself
    std::unique_ptr<harness::relay> front; ///< in front of the server; its end is the server's
};

class review_world {
public:
    /// @param zones zone of each gateway
    review_world(record& log, std::vector<std::string> zones);
    ~review_world();
    review_world(const review_world&) = delete;
    review_world& operator=(const review_world&) = delete;

    /// Adds a plain server before start().
    listed_standin& add_server(const std::string& id, const std::string& zone);
    /// Writes the entries of all servers, as each of them does every heartbeat.
    void write_entries();
    /// Writes the configuration: an idempotent route /look/, a non-idempotent one /book/.
    void put_configuration(std::uint64_t version, const std::vector<std::string>& keys);
    /// Ends a server in the way of a process that exits: its connections close, new ones are
    /// refused, and its entry goes.
    void end_server(listed_standin& listed);
    /// Replaces a server by a new process with another id at another address.
    /// @param prepare called before the new server is listed
    void replace_server(listed_standin& listed, const std::string& id,
                        const std::function<void()>& prepare);
    /// Lists an engine with version 1 of the weights, of the service of the streams at /draft/.
    void put_engine(const std::string& id, const std::string& address, const std::string& zone);
    /// Sets what a cold server bears; 0: the service names no rate. Call it before
    /// put_configuration().
    void set_cold_rate(double seconds, double requests_per_s);
    /// Starts the gateways and waits until all are ready and the servers are listed.
    bool start();
    /// Kills the first gateways together and starts each again half a second later.
    void kill_gateways_and_restart(std::size_t count);
    bool wait_until_ready(milliseconds timeout);
    /// Sends a request with a new attempt id, or with the one given.
    http_response call(std::size_t gateway, const std::string& method, const std::string& target,
                       const std::string& key, milliseconds timeout,
                       const std::string& attempt = "", const std::string& body = "");
    std::size_t gateway_count() const { return zones_.size(); }
    harness::child_process& gateway(std::size_t index) { return *gateways_.at(index); }
    int readiness(std::size_t index);

    harness::row_store store;
    std::vector<std::unique_ptr<listed_standin>> servers;

private:
    struct ports {
        std::uint16_t http, readiness, directory, peer, metrics;
    };
    std::string settings_of(std::size_t index) const;
    std::unique_ptr<harness::child_process> start_gateway(std::size_t index);

    record& log_;
    std::vector<std::string> zones_;
    std::string directory_;
    std::vector<ports> ports_;
    std::vector<std::unique_ptr<harness::child_process>> gateways_;
    http_client client_;
    double cold_s_{0};
    double cold_per_s_{0};
    std::mutex entries_mutex_;
    std::vector<std::unique_ptr<harness::platform_server>> retired_;
    std::vector<std::unique_ptr<harness::relay>> retired_fronts_;
    std::atomic<bool> is_ending_{false};
    std::thread heartbeats_;
};

} // namespace citronseam::review

#endif
