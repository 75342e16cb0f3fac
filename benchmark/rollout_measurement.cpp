#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <numeric>
#include <thread>

#include "citronseam/process/sizes.h"
#include "measurements.h"
#include "support/requests.h"
#include "support/rollout.h"

namespace citronseam::measurement {
namespace {

using namespace citronseam::harness;

constexpr std::size_t weights_bytes = 8 * mebibyte;
/// The origin's link can send about four copies in the time in which a machine's link sends two.
constexpr std::uint64_t origin_bytes_per_second = 10000000;
constexpr double machine_bytes_per_second = 5 * 1000 * 1000;
constexpr double region_bytes_per_second = 2.5 * 1000 * 1000;
constexpr milliseconds rollout_timeout{120000};

struct rollout_outcome {
    bool is_complete{false};
    double all_chunks_s{0};  ///< until every agent holds all chunks
    double all_serving_s{0}; ///< until every engine serves the version
    double origin_copies{0};
    double region_copies{0};        ///< copies sent over the link between the regions
    double busiest_sender_share{0}; ///< share of region_copies that one agent sent
};

deployment_plan rate_limited_plan(int agents, bool is_baseline) {
    std::string rollout = "    rollout:\n      peer_rate: 40Mbit/s\n";
    rollout += is_baseline ? "      spread: origin\n" : "";
    deployment_plan plan = rollout_plan(agents, {{"    rollout:\n", rollout}});
    plan.origin_bytes_per_second = origin_bytes_per_second;
    return plan;
}

/// @return weight bytes that each agent sent to the other region
std::vector<double> bytes_between_regions(deployment& system,
                                          const std::vector<std::string>& agents) {
    std::vector<double> sent;
    sent.reserve(agents.size());
    for (const auto& agent : agents) {
        const auto text = system
                              .send_http_request(
                                  "GET", "http://" + system.address(agent, "operator") + "/metrics")
                              .body;
        const bool is_in_a = (std::stoi(agent.substr(6)) % 2) == 0;
        const std::string sample_prefix =
            std::string("citronseam_weight_bytes_sent_total{to_region=\"") +
            (is_in_a ? "region-b" : "region-a") + "\"} ";
        const auto found = text.find(sample_prefix);
        sent.push_back(
            found == std::string::npos ? 0 : std::stod(text.substr(found + sample_prefix.size())));
    }
    return sent;
}

rollout_outcome run_rollout(int agents, bool is_baseline, int killed_agents) {
    deployment system(rate_limited_plan(agents, is_baseline));
    system.start_processes();
    system.apply(rate_limited_plan(agents, is_baseline).configuration);
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(agents));
    for (int i = 0; i < agents; ++i) {
        names.push_back("agent-" + std::to_string(i));
    }
    wait_until([&] { return system.status()["agents"].size() == names.size(); }, rollout_timeout);
    const auto start = std::chrono::steady_clock::now();
    const auto elapsed_s = [&start] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    };
    system.release("pool", weights_bytes, 7);
    if (killed_agents > 0) {
        std::this_thread::sleep_for(milliseconds(1500));
        for (int i = 0; i < killed_agents; ++i) {
            system.process(names.back()).send_signal(SIGKILL);
            names.pop_back();
        }
    }
    rollout_outcome outcome;
    outcome.is_complete = wait_until(
        [&] {
            const auto status = system.status();
            std::size_t complete_agents = 0;
            std::size_t serving_agents = 0;
            for (const auto& agent : status["agents"]) {
                const bool is_alive =
                    std::find(names.begin(), names.end(), agent["instance"]) != names.end();
                const int total = agent["chunks_total"];
                complete_agents += is_alive && total > 0 && agent["chunks_held"] == total ? 1 : 0;
                serving_agents += is_alive && !agent["version"].get<std::string>().empty() ? 1 : 0;
            }
            if (complete_agents == names.size() && outcome.all_chunks_s == 0) {
                outcome.all_chunks_s = elapsed_s();
            }
            return serving_agents == names.size();
        },
        rollout_timeout);
    outcome.all_serving_s = elapsed_s();
    const auto counts =
        system.send_http_request("GET", "http://" + system.address("weights", "http") + "/counts");
    outcome.origin_copies =
        nlohmann::json::parse(counts.body)["bytes"].get<double>() / weights_bytes;
    const std::vector<double> sent = bytes_between_regions(system, names);
    const double total = std::accumulate(sent.begin(), sent.end(), 0.0);
    outcome.region_copies = total / weights_bytes;
    outcome.busiest_sender_share =
        total > 0 ? *std::max_element(sent.begin(), sent.end()) / total : 0;
    return outcome;
}

void print_outcome(int agents, const std::string& what, const rollout_outcome& outcome) {
    const double ideal_s = std::max({weights_bytes / machine_bytes_per_second,
                                     weights_bytes / double{origin_bytes_per_second},
                                     weights_bytes / region_bytes_per_second});
    std::cout << "| " << agents << " | " << what << " | " << (outcome.is_complete ? "yes" : "no")
              << " | " << outcome.all_chunks_s << " | " << outcome.all_serving_s << " | "
              << outcome.all_serving_s / ideal_s << " | " << outcome.origin_copies << " | "
              << outcome.region_copies << " | " << outcome.busiest_sender_share << " |"
              << std::endl;
}

void print_table_header() {
    std::cout
        << "\n### Time to N whole replicas\n\n8 MiB, two regions, origin 10 MB/s, machine "
           "5 MB/s, link between regions 2.5 MB/s\n\n"
           "| N | spread | all whole | chunks s | in force s | ratio to bound | origin copies | "
           "copies between regions | busiest sender's share "
           "|\n|---|---|---|---|---|---|---|---|---|\n";
}

} // namespace

void measure_rollout(int largest) {
    print_table_header();
    for (int agents = 8; agents <= largest; agents *= 2) {
        print_outcome(agents, "from the origin (baseline)", run_rollout(agents, true, 0));
        print_outcome(agents, "from each other", run_rollout(agents, false, 0));
    }
    print_outcome(30, "a tenth killed midway", run_rollout(30, false, 3));
}

void measure_peer_rollout() {
    print_table_header();
    for (const int agents : {16, 32, 64}) {
        print_outcome(agents, "from each other", run_rollout(agents, false, 0));
    }
}

void measure_load_during_rollout() {
    std::cout
        << "\n### Live requests while a version spreads\n\n| when | sent | answered | p50 ms | "
           "p95 ms |\n|---|---|---|---|---|\n";
    auto plan = rate_limited_plan(8, false);
    deployment system(plan);
    system.start();
    const std::vector<std::string> load{"--service", "pool",     "--rate", "100",      "--seconds",
                                        "8",         "--tokens", "10",     "--stream", "0"};
    const auto print = [](const char* when, const nlohmann::json& result) {
        std::cout << "| " << when << " | " << result["sent"] << " | " << result["answered"] << " | "
                  << result["total_ms"]["p50"] << " | " << result["total_ms"]["p95"] << " |"
                  << std::endl;
    };
    system.load(load);
    print("without", system.load(load));
    const auto run = system.start_load(load);
    system.release("pool", weights_bytes, 9);
    print("with", deployment::wait_for_load_result(*run));
}

} // namespace citronseam::measurement
