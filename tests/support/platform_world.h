/// @file
/// A deployment on a stand-in of the users' platform: the store, model engines, a plain service and
/// the origin of weights, all on loopback inside the test's process.
#ifndef CITRONSEAM_TESTS_SUPPORT_PLATFORM_WORLD_H
#define CITRONSEAM_TESTS_SUPPORT_PLATFORM_WORLD_H

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "citronseam/connection/http_client.h"
#include "support/child_process.h"
#include "support/platform_server.h"
#include "support/row_store.h"
#include "support/weight_origin.h"

namespace citronseam::harness {

/// A whole deployment: two zones with an engine, a plain server and a gateway each.
class platform_world {
public:
    platform_world();
    ~platform_world();
    platform_world(const platform_world&) = delete;
    platform_world& operator=(const platform_world&) = delete;

    /// Starts the processes of the system and waits until all gateways are ready.
    /// @return whether they became ready
    bool start();
    /// Names a configuration; versions must rise.
    void configure(std::uint64_t version, bool has_second_route = false);
    /// Names new weights.
    void name_weights(std::uint64_t version);
    /// Lists a server, or takes it off.
    void list_server(const platform_server& server, const std::string& service,
                     const std::string& zone, const std::string& state = "ready");

    /// Sends a request of a caller through a gateway.
    http_answer call(std::size_t gateway, const std::string& method, const std::string& path,
                     std::vector<http_header> headers = {});
    /// Asks for an address.
    http_answer resolve(std::size_t gateway, const std::string& zone);
    /// Asks a gateway whether it is ready.
    int readiness(std::size_t gateway);
    child_process& gateway(std::size_t index) { return *gateways_.at(index); }
    child_process& sidecar(std::size_t index) { return *sidecars_.at(index); }

    row_store store;
    weight_origin origin;
    std::vector<std::unique_ptr<platform_server>> engines;
    std::vector<std::unique_ptr<platform_server>> desks;

    static constexpr const char* key = "key-1";

private:
    struct ports {
        std::uint16_t http, readiness, directory, peer, metrics;
    };
    std::string gateway_settings(std::size_t index) const;
    std::string sidecar_settings(std::size_t index) const;
    std::string write_file(const std::string& name, const std::string& content);
    http_answer ask(http_request request);

    std::string folder_;
    http_client client_;
    std::vector<ports> ports_;
    std::vector<std::uint16_t> sidecar_ports_;
    std::vector<std::unique_ptr<child_process>> gateways_;
    std::vector<std::unique_ptr<child_process>> sidecars_;
    std::atomic<int> attempts_{0};
};

/// Calls a condition until it holds or the bound is over. @return whether it held
template<typename Condition>
bool wait_until(Condition condition, milliseconds bound) {
    const auto end = std::chrono::steady_clock::now() + bound;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return condition();
}

} // namespace citronseam::harness

#endif
