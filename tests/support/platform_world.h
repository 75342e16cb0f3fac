/// @file
/// Gateways and sidecars on a stand-in for the users' platform. The store, the backend servers and
/// the weight origin run inside the test process, on loopback.
#ifndef CITRONSEAM_TESTS_SUPPORT_PLATFORM_WORLD_H
#define CITRONSEAM_TESTS_SUPPORT_PLATFORM_WORLD_H

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronseam/connection/http_client.h"
#include "support/child_process.h"
#include "support/platform_server.h"
#include "support/row_store.h"
#include "support/weight_origin.h"

namespace citronseam::harness {

/// @return a port on the loopback address that no other test process uses
std::uint16_t free_port();

/// A complete deployment: two zones, each with an engine, a plain server, a sidecar and gateways.
class platform_world {
public:
    /// @param gateways_per_zone gateways alternate between the zones: the first one is in zone-a,
    /// the second one in zone-b
    explicit platform_world(std::size_t gateways_per_zone = 1);
    ~platform_world();
    platform_world(const platform_world&) = delete;
    platform_world& operator=(const platform_world&) = delete;

    /// Sets the address of the store that a sidecar uses from its start.
    void set_sidecar_store(std::size_t sidecar, std::string address);
    /// Sets the address of the store that a gateway uses from its start.
    void set_gateway_store(std::size_t gateway, std::string address);
    /// Lets gateways, and sidecars from their start, reach a server at another address, such as
    /// that of a proxy. Changes the server's row if there is one.
    void set_server_address(const platform_server& server, const std::string& address);
    /// Places the second zone in a region of its own, region-b. Call it before start().
    void separate_regions() { second_region_ = "region-b"; }
    /// Sets the retries that the gateways may make per request. Call it before start().
    void set_retry_ratio(double ratio) { retry_ratio_ = ratio; }
    /// Sets the time from SIGTERM until the gateways are killed. Call it before start().
    void set_grace_period(seconds period) { grace_period_ = period; }
    /// Sets the time from the announcement of weights until they are due. Call it before start().
    void set_weights_due(milliseconds due) { weights_due_ = due; }
    /// Sets the memory, such as `112MiB`, that the settings of all processes state. Call it before
    /// start().
    void set_memory(std::string size) { memory_ = std::move(size); }
    /// Sets the number of files that each process may open. Call it before start().
    void set_descriptor_limit(std::size_t limit) { descriptor_limit_ = limit; }
    /// Starts the gateways and sidecars and waits until all gateways are ready.
    /// @return false on timeout
    bool start();
    /// Kills a gateway, starts it again and waits until it is ready.
    /// @return false on timeout
    bool restart_gateway(std::size_t index);
    /// Kills a gateway and starts it again without waiting until it is ready.
    void replace_gateway(std::size_t index);
    /// Kills a sidecar and starts it again.
    void restart_sidecar(std::size_t index);
    /// Writes the configuration to the store. Each call needs a higher version.
    /// @return version of the row
    std::uint64_t put_configuration(std::uint64_t version, bool has_second_route = false,
                                    std::size_t tenant_count = 1);
    /// Changes the configuration in the store and raises its version by one.
    /// @return version of the row
    std::uint64_t edit_configuration(const std::function<void(nlohmann::json&)>& edit);
    /// Writes the weights version that the engines must load to the store.
    void set_weights_version(std::uint64_t version);
    /// Writes a backend server's row to the store.
    /// @param started_at its `born`; 0 leaves it out
    void put_server_row(const platform_server& server, const std::string& service,
                        const std::string& zone, const std::string& state = "ready",
                        std::uint64_t started_at = 0);
    /// Writes the row of a server that is none of the world's to the store, in the first zone.
    /// @param weights version of the model that an engine has loaded; 0 for a plain server
    void put_foreign_server_row(const std::string& id, const std::string& address,
                                const std::string& service, std::uint64_t weights = 0);

    /// Sends a client request through a gateway.
    http_response call(std::size_t gateway, const std::string& method, const std::string& path,
                       std::vector<http_header> headers = {});
    /// Resolves the gateway addresses for a zone through the directory of a gateway.
    http_response resolve(std::size_t gateway, const std::string& zone);
    /// @return HTTP status of a gateway's readiness check
    int readiness(std::size_t gateway);
    std::size_t gateway_count() const { return ports_.size(); }
    /// @return address on which a gateway listens for other processes
    std::string peer_address(std::size_t gateway) const;
    /// @return port on which a gateway accepts client requests
    std::uint16_t http_port(std::size_t gateway) const { return ports_.at(gateway).http; }
    /// @return port on which a sidecar accepts operators' requests
    std::uint16_t sidecar_operator_port(std::size_t sidecar) const {
        return sidecar_operator_ports_.at(sidecar);
    }
    child_process& gateway(std::size_t index) { return *gateways_.at(index); }
    child_process& sidecar(std::size_t index) { return *sidecars_.at(index); }

    row_store store;
    weight_origin origin;
    std::vector<std::unique_ptr<platform_server>> engines;
    std::vector<std::unique_ptr<platform_server>> plain_servers;

    static constexpr const char* api_key = "key-1";
    static constexpr std::size_t zone_count = 2;
    static constexpr std::array<const char*, zone_count> zone_names{"zone-a", "zone-b"};

private:
    struct ports {
        std::uint16_t http, readiness, directory, peer, metrics;
    };
    std::string region_settings(std::size_t index) const;
    std::string gateway_settings(std::size_t index) const;
    std::string address_of(const platform_server& server) const;
    std::string sidecar_settings(std::size_t index) const;
    std::unique_ptr<child_process> make_daemon(const std::string& settings_file) const;
    std::unique_ptr<child_process> make_gateway(std::size_t index);
    std::unique_ptr<child_process> make_sidecar(std::size_t index);
    std::string write_file(const std::string& name, const std::string& content);
    http_response execute(http_request request);

    std::string directory_;
    std::string second_region_{"region-a"};
    std::optional<double> retry_ratio_; ///< empty for the default
    seconds grace_period_{4};
    milliseconds weights_due_{5000};
    http_client client_;
    std::vector<ports> ports_;
    std::string memory_;              ///< empty: not stated
    std::size_t descriptor_limit_{0}; ///< 0: that of the test
    std::vector<std::uint16_t> sidecar_ports_;
    std::vector<std::uint16_t> sidecar_operator_ports_;
    std::vector<std::string> sidecar_stores_;
    std::vector<std::string> gateway_stores_;
    std::map<std::string, std::string> server_addresses_; ///< by server, where they differ
    std::vector<std::unique_ptr<child_process>> gateways_;
    std::vector<std::unique_ptr<child_process>> sidecars_;
    std::atomic<int> attempt_count_{0};
};

/// Polls a condition until it holds.
/// @return false on timeout
template<typename Condition>
bool wait_until(Condition condition, milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return condition();
}

} // namespace citronseam::harness

#endif
