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

constexpr std::size_t measured_size = 8 * mebibyte;
/// The origin's link carries about four copies in the time in which a machine's link carries two.
constexpr std::uint64_t origin_rate = 10000000;
constexpr double machine_rate = 5 * 1000 * 1000;
constexpr double region_rate = 2.5 * 1000 * 1000;
constexpr milliseconds longest_rollout{120000};

struct rollout_outcome {
    bool is_whole{false};
    double whole_s{0};    ///< until every agent holds all chunks
    double in_force_s{0}; ///< until every engine serves the version
    double origin_copies{0};
    double region_copies{0}; ///< over the link between the regions
    double busiest_share{0}; ///< of that, what the busiest sender sent
};

deployment_plan paced_plan(int agents, bool is_baseline) {
    std::string rollout = "    rollout:\n      peer_rate: 40Mbit/s\n";
    rollout += is_baseline ? "      spread: origin\n" : "";
    deployment_plan plan = rollout_plan(agents, {{"    rollout:\n", rollout}});
    plan.origin_bytes_per_second = origin_rate;
    return plan;
}

/// Bytes that agents sent to the other region.
std::vector<double> bytes_between_regions(deployment& system,
                                          const std::vector<std::string>& agents) {
    std::vector<double> sent;
    sent.reserve(agents.size());
    for (const auto& agent : agents) {
        const auto text =
            system.ask("GET", "http://" + system.address(agent, "operator") + "/metrics").body;
        const bool is_in_a = (std::stoi(agent.substr(6)) % 2) == 0;
        const std::string mark = std::string("citronseam_weight_bytes_sent_total{to_region=\"") +
                                 (is_in_a ? "region-b" : "region-a") + "\"} ";
        const auto found = text.find(mark);
        sent.push_back(found == std::string::npos ? 0
                                                  : std::stod(text.substr(found + mark.size())));
    }
    return sent;
}

rollout_outcome run_rollout(int agents, bool is_baseline, int killed) {
    deployment system(paced_plan(agents, is_baseline));
    system.start_processes();
    system.apply(paced_plan(agents, is_baseline).configuration);
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(agents));
    for (int i = 0; i < agents; ++i) {
        names.push_back("agent-" + std::to_string(i));
    }
    wait_until([&] { return system.status()["agents"].size() == names.size(); }, longest_rollout);
    const auto began = std::chrono::steady_clock::now();
    const auto passed = [&began] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    };
    system.release("pool", measured_size, 7);
    if (killed > 0) {
        std::this_thread::sleep_for(milliseconds(1500));
        for (int i = 0; i < killed; ++i) {
            system.process(names.back()).send_signal(SIGKILL);
            names.pop_back();
        }
    }
    rollout_outcome outcome;
    outcome.is_whole = wait_until(
        [&] {
            const auto status = system.status();
            std::size_t whole = 0;
            std::size_t in_force = 0;
            for (const auto& agent : status["agents"]) {
                const bool is_counted =
                    std::find(names.begin(), names.end(), agent["instance"]) != names.end();
                const int total = agent["chunks_total"];
                whole += is_counted && total > 0 && agent["chunks_held"] == total ? 1 : 0;
                in_force += is_counted && !agent["version"].get<std::string>().empty() ? 1 : 0;
            }
            if (whole == names.size() && outcome.whole_s == 0) {
                outcome.whole_s = passed();
            }
            return in_force == names.size();
        },
        longest_rollout);
    outcome.in_force_s = passed();
    const auto counts =
        system.ask("GET", "http://" + system.address("weights", "http") + "/counts");
    outcome.origin_copies =
        nlohmann::json::parse(counts.body)["bytes"].get<double>() / measured_size;
    const std::vector<double> sent = bytes_between_regions(system, names);
    const double total = std::accumulate(sent.begin(), sent.end(), 0.0);
    outcome.region_copies = total / measured_size;
    outcome.busiest_share = total > 0 ? *std::max_element(sent.begin(), sent.end()) / total : 0;
    return outcome;
}

void print_outcome(int agents, const std::string& what, const rollout_outcome& outcome) {
    const double bound =
        std::max({measured_size / machine_rate, measured_size / double{origin_rate},
                  measured_size / region_rate});
    std::cout << "| " << agents << " | " << what << " | " << (outcome.is_whole ? "yes" : "no")
              << " | " << outcome.whole_s << " | " << outcome.in_force_s << " | "
              << outcome.in_force_s / bound << " | " << outcome.origin_copies << " | "
              << outcome.region_copies << " | " << outcome.busiest_share << " |" << std::endl;
}

void print_head() {
    std::cout
        << "\n### Time to N whole replicas\n\n8 MiB, two regions, origin 10 MB/s, machine "
           "5 MB/s, link between regions 2.5 MB/s\n\n"
           "| N | spread | all whole | chunks s | in force s | ratio to bound | origin copies | "
           "copies between regions | busiest sender's share "
           "|\n|---|---|---|---|---|---|---|---|---|\n";
}

} // namespace

void measure_rollout(int largest) {
    print_head();
    for (int agents = 8; agents <= largest; agents *= 2) {
        print_outcome(agents, "from the origin (baseline)", run_rollout(agents, true, 0));
        print_outcome(agents, "from each other", run_rollout(agents, false, 0));
    }
    print_outcome(30, "a tenth killed midway", run_rollout(30, false, 3));
}

void measure_rollout_peers() {
    print_head();
    for (const int agents : {16, 32, 64}) {
        print_outcome(agents, "from each other", run_rollout(agents, false, 0));
    }
}

void measure_rollout_load() {
    std::cout
        << "\n### Live requests while a version spreads\n\n| when | sent | answered | p50 ms | "
           "p95 ms |\n|---|---|---|---|---|\n";
    auto plan = paced_plan(8, false);
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
    system.release("pool", measured_size, 9);
    print("with", deployment::load_result(*run));
}

} // namespace citronseam::measurement
