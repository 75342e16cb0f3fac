// Prefix affinity out of the engines' cache events, which come late and with gaps.
#include <gtest/gtest.h>

#include "support/requests.h"
#include "support/rollout.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr int engines = 4;
constexpr milliseconds bound{10000};

deployment_plan cache_plan(const std::vector<std::string>& arguments) {
    deployment_plan plan = rollout_plan(engines);
    plan.entry_zones = {"zone-a", "zone-a"};
    for (auto& server : plan.backend_servers) {
        server.availability_zone = "zone-a";
        server.arguments.insert(server.arguments.end(), arguments.begin(), arguments.end());
    }
    return plan;
}

http_answer ask_for(deployment& system, std::size_t entry, const std::string& prompt) {
    return system.call(entry, "POST", "/v1/completions", completion(prompt, 2, false));
}

int total_of(deployment& system, const std::string& field) {
    int total = 0;
    for (int i = 0; i < engines; ++i) {
        const auto status = system.ask(
            "GET", "http://" + system.address("agent-" + std::to_string(i) + "-server", "http") +
                       "/admin/status");
        total += nlohmann::json::parse(status.body)[field].get<int>();
    }
    return total;
}

TEST(process_affinity, an_entry_learns_from_events_where_a_prompt_was_served) {
    constexpr int prompts = 12;
    deployment system(cache_plan({}));
    system.start();
    std::map<std::string, std::string> servers;
    for (int i = 0; i < prompts; ++i) {
        const std::string prompt = "plan " + std::to_string(i);
        servers[prompt] = find_header(ask_for(system, 0, prompt).headers, "X-Served-By");
    }
    ASSERT_TRUE(wait_until(
        [&] { return system.status(1)["known_prefixes"].value("pool", 0) >= prompts; }, bound));
    for (const auto& [prompt, server] : servers) {
        EXPECT_EQ(find_header(ask_for(system, 1, prompt).headers, "X-Served-By"), server) << prompt;
    }
    EXPECT_EQ(total_of(system, "cache_misses"), prompts);
    EXPECT_EQ(total_of(system, "cache_hits"), prompts);
}

TEST(process_affinity, lost_events_cost_hits_and_nothing_else) {
    deployment system(cache_plan({"--cache-event-gap", "1", "--cache-size", "2"}));
    system.start();
    for (int i = 0; i < 20; ++i) {
        const std::size_t entry = i % 2;
        EXPECT_EQ(ask_for(system, entry, "plan " + std::to_string(i / 2)).outcome.status, 200);
    }
}

} // namespace
