/// @file
/// What the operator and the servers of a soak run announce while it runs.
#ifndef CITRONSEAM_TESTS_SOAK_PLANNED_WORK_H
#define CITRONSEAM_TESTS_SOAK_PLANNED_WORK_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/platform_world.h"

#include "soak/fault_proxy.h"
#include "soak/soak_plan.h"
#include "soak/timeline.h"

namespace citronseam::soak {

/// Changes the configuration, the weights version, the servers and the evacuated zones.
class planned_work {
public:
    using proxy_list = std::vector<std::unique_ptr<fault_proxy>>;

    /// @param desk_proxies proxies before the plain servers; one is replaced when its server moves
    planned_work(harness::platform_world& world, timeline& times, proxy_list& desk_proxies);

    /// Writes the first configuration. Call it before the gateways start.
    /// @param origin address from which the weights are fetched
    void announce_first_configuration(const std::string& origin);
    void begin(const planned_fault& work);
    void end(const planned_fault& work);
    /// Lists the versions that the engines have loaded, as their heartbeats do.
    void update_engine_rows();

    static constexpr const char* guest_key = "key-of-guest";

private:
    /// What a server's row says.
    struct listing {
        std::string service;
        std::string zone;
        std::string state{"ready"};
        std::uint64_t started_at{1};
        std::uint64_t weights{1};
        bool is_listed{true};
    };
    harness::platform_server& server_of(const planned_fault& work);
    void put_row(const harness::platform_server& server);
    void change_configuration(const planned_fault& work, bool is_begin);
    void begin_leaving(const planned_fault& work);
    void end_leaving(const planned_fault& work);
    void evacuate(const planned_fault& work, bool is_begin);

    harness::platform_world& world_;
    timeline& timeline_;
    proxy_list& desk_proxies_;
    configuration_state state_;
    std::uint64_t weights_version_{1};
    std::map<std::string, listing> listings_; ///< by server
};

} // namespace citronseam::soak

#endif
