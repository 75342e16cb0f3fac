// Prefix affinity from the engines' cache events, which may arrive late or get lost.
#include <gtest/gtest.h>

#include "support/requests.h"
#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr int engine_count = 4;
constexpr milliseconds report_timeout{10000};

deployment_plan cache_plan(const std::vector<std::string>& arguments) {
    deployment_plan plan = rollout_plan(engine_count);
    plan.entry_zones = {"zone-a", "zone-a"};
    for (auto& server : plan.backend_servers) {
        server.availability_zone = "zone-a";
        server.arguments.insert(server.arguments.end(), arguments.begin(), arguments.end());
    }
    return plan;
}

http_response request_completion(deployment& system, std::size_t entry, const std::string& prompt) {
    return system.call(entry, "POST", "/v1/completions", completion_body(prompt, 2, false));
}

int sum_status_field(deployment& system, const std::string& field) {
    int total = 0;
    for (int i = 0; i < engine_count; ++i) {
        const auto status = system.send_http_request(
            "GET", "http://" + system.address("agent-" + std::to_string(i) + "-server", "http") +
                       "/admin/status");
        total += nlohmann::json::parse(status.body)[field].get<int>();
    }
    return total;
}

TEST(process_affinity, an_entry_learns_prefix_holders_from_cache_events) {
    constexpr int prompt_count = 12;
    deployment system(cache_plan({}));
    system.start();
    std::map<std::string, std::string> servers;
    for (int i = 0; i < prompt_count; ++i) {
        const std::string prompt = "plan " + std::to_string(i);
        servers[prompt] = find_header(request_completion(system, 0, prompt).headers, "X-Served-By");
    }
    ASSERT_TRUE(wait_until(
        [&] { return system.status(1)["known_prefixes"].value("pool", 0) >= prompt_count; },
        report_timeout));
    for (const auto& [prompt, server] : servers) {
        EXPECT_EQ(find_header(request_completion(system, 1, prompt).headers, "X-Served-By"), server)
            << prompt;
    }
    EXPECT_EQ(sum_status_field(system, "cache_misses"), prompt_count);
    EXPECT_EQ(sum_status_field(system, "cache_hits"), prompt_count);
}

TEST(process_affinity, lost_cache_events_only_cost_cache_hits) {
    deployment system(cache_plan({"--cache-event-gap", "1", "--cache-size", "2"}));
    system.start();
    for (int i = 0; i < 20; ++i) {
        const std::size_t entry = i % 2;
        EXPECT_EQ(request_completion(system, entry, "plan " + std::to_string(i / 2)).outcome.status,
                  200);
    }
}

} // namespace
