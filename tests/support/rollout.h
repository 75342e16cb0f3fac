/// @file
/// Deployment plans and queries for tests that release model versions.
#ifndef CITRONSEAM_TESTS_SUPPORT_ROLLOUT_H
#define CITRONSEAM_TESTS_SUPPORT_ROLLOUT_H

#include <map>
#include <string>

#include "citronseam/process/sizes.h"
#include "support/deployment.h"

namespace citronseam::harness {

constexpr std::size_t model_bytes = 2 * mebibyte;

/// @return a plan with engines of the service `pool`, alternating between the two zones
inline deployment_plan rollout_plan(int agents,
                                    const std::map<std::string, std::string>& replacements = {}) {
    deployment_plan plan = small_deployment_plan();
    plan.configuration = test_configuration(replacements);
    plan.backend_servers.clear();
    for (int i = 0; i < agents; ++i) {
        plan.backend_servers.push_back({"agent-" + std::to_string(i),
                                        "pool",
                                        i % 2 == 0 ? "zone-a" : "zone-b",
                                        true,
                                        {"--cold-requests", "1"}});
    }
    return plan;
}

/// @return the version that an agent's engine itself reports as served
inline std::string served_version(deployment& system, int agent) {
    const auto status = system.send_http_request(
        "GET", "http://" + system.address("agent-" + std::to_string(agent) + "-server", "http") +
                   "/admin/status");
    const auto json = nlohmann::json::parse(status.body, nullptr, false);
    return json.is_object() ? json["version"] : "";
}

/// @return whether the engines of the first `agents` agents all serve a version
inline bool is_served_by_all_engines(deployment& system, int agents, const std::string& version) {
    for (int i = 0; i < agents; ++i) {
        if (served_version(system, i) != version) {
            return false;
        }
    }
    return true;
}

/// @return the version of `pool` that the accepted configuration names
inline std::string target_version(deployment& system) {
    const auto status = system.run_tool({"rollout", "status", "pool"});
    return nlohmann::json::parse(status.output)["version"];
}

/// @return number of bytes that the weight origin has served
inline std::uint64_t bytes_served_by_origin(deployment& system) {
    const auto counts =
        system.send_http_request("GET", "http://" + system.address("weights", "http") + "/counts");
    return nlohmann::json::parse(counts.body)["bytes"];
}

/// @return status that a process reports about itself
inline nlohmann::json process_status(deployment& system, const std::string& process) {
    const auto response = system.send_http_request(
        "GET", "http://" + system.address(process, "operator") + "/v1/status");
    return nlohmann::json::parse(response.body, nullptr, false);
}

} // namespace citronseam::harness

#endif
