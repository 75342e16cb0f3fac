#include <algorithm>
#include <fstream>
#include <iostream>
#include <thread>

#include "measurements.h"
#include "support/requests.h"

namespace citronseam::measurement {
namespace {

using namespace citronseam::harness;

constexpr int repetitions = 3;

std::vector<backend_server_plan> engines(int count, const std::vector<std::string>& arguments) {
    std::vector<backend_server_plan> plans;
    plans.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        plans.push_back({"agent-" + std::to_string(i), "pool", i % 2 == 0 ? "zone-a" : "zone-b",
                         true, arguments});
    }
    return plans;
}

double number(const nlohmann::json& load, const char* kind, const char* quantile) {
    return load[kind][quantile].get<double>();
}

void print_row(const std::string& name, const nlohmann::json& load) {
    std::cout << "| " << name << " | " << load["sent"] << " | " << load["answered"] << " | "
              << load["refused"] << " | " << load["aborted"] << " | "
              << number(load, "first_byte_ms", "p50") << " | "
              << number(load, "first_byte_ms", "p95") << " | " << number(load, "gap_ms", "p50")
              << " | " << number(load, "gap_ms", "p95") << " | " << load["seconds"] << " |\n";
}

void print_head(const std::string& title) {
    std::cout << "\n### " << title
              << "\n\n| what | sent | answered | refused | aborted | first byte p50 ms | p95 ms | "
                 "gap p50 ms | p95 ms "
                 "| s |\n|---|---|---|---|---|---|---|---|---|---|\n";
}

/// Processor time of the machine since it started, in ticks.
struct processor_times {
    double total{0};
    double stolen{0};
};

processor_times read_processor_times() {
    std::ifstream file("/proc/stat");
    std::string word;
    file >> word;
    processor_times times;
    constexpr int stolen_column = 7;
    double ticks = 0;
    for (int column = 0; column <= stolen_column && file >> ticks; ++column) {
        times.total += ticks;
        times.stolen = ticks;
    }
    return times;
}

double stolen_percent(const processor_times& before, const processor_times& after) {
    constexpr double percent = 100;
    const double passed = after.total - before.total;
    return passed > 0 ? percent * (after.stolen - before.stolen) / passed : 0;
}

/// @return the run whose first byte at 95 in 100 is the median
nlohmann::json median_run(std::vector<nlohmann::json> runs) {
    std::sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
        return number(left, "first_byte_ms", "p95") < number(right, "first_byte_ms", "p95");
    });
    return runs[runs.size() / 2];
}

/// Brings all servers to their full limit.
void warm(deployment& system) {
    system.load(
        {"--service", "pool", "--rate", "150", "--seconds", "4", "--tokens", "4", "--stream", "0"});
}

const std::map<std::string, std::string> wide{{"max_concurrency: 8", "max_concurrency: 1000"},
                                              {"request_timeout: 10s", "request_timeout: 30s"},
                                              {"queue_limit: 256", "queue_limit: 2000"}};

} // namespace

void measure_entry() {
    deployment_plan plan = small_plan();
    plan.configuration = test_configuration(wide);
    plan.entry_zones = {"zone-a"};
    plan.backend_servers = engines(6, {"--token-ms", "10", "--first-token-ms", "20",
                                       "--warm-capacity", "1000", "--cold-requests", "1"});
    deployment system(plan);
    system.start();
    warm(system);
    print_head("One entry, streams with tokens 10 ms apart, median of three runs each");
    const std::vector<std::pair<const char*, const char*>> loads{
        {"300", "40"}, {"600", "40"}, {"1500", "40"}, {"1500", "260"}};
    for (const auto& [rate, tokens] : loads) {
        const std::vector<std::string> load{"--service", "pool", "--rate",   rate,
                                            "--seconds", "5",    "--tokens", tokens};
        std::vector<std::string> direct = load;
        for (int i = 0; i < 6; ++i) {
            direct.insert(
                direct.end(),
                {"--target",
                 "http://" + system.address("agent-" + std::to_string(i) + "-server", "http")});
        }
        // In turn, so that what else the machine does falls on both.
        std::vector<nlohmann::json> direct_runs;
        std::vector<nlohmann::json> entry_runs;
        const processor_times before = read_processor_times();
        for (int run = 0; run < repetitions; ++run) {
            direct_runs.push_back(system.load(direct));
            entry_runs.push_back(system.load(load));
        }
        const double stolen = stolen_percent(before, read_processor_times());
        const std::string what = std::string(rate) + "/s of " + tokens + " tokens";
        print_row("stand-ins directly, " + what, median_run(direct_runs));
        print_row("through the entry, " + what, median_run(entry_runs));
        std::cout << "| processor time taken by other machines: " << stolen
                  << "% | | | | | | | | | |\n";
    }
}

void measure_zone() {
    for (const bool is_baseline : {true, false}) {
        deployment_plan plan = small_plan();
        auto changes = wide;
        changes["max_concurrency: 8"] = "max_concurrency: 16";
        if (is_baseline) {
            changes["    rollout:\n"] = "    balancing: round_robin\n    rollout:\n";
        }
        plan.configuration = test_configuration(changes);
        plan.backend_servers =
            engines(6, {"--token-ms", "5", "--first-token-ms", "20", "--warm-capacity", "16"});
        deployment system(plan);
        system.start();
        warm(system);
        print_head(is_baseline ? "Zone out and back, round robin" : "Zone out and back");
        // Three servers remain, each 16 places and about 120 ms a request: 400 a second. 70 in 100.
        const std::vector<std::string> load{"--service", "pool", "--rate",   "280",
                                            "--tokens",  "20",   "--stream", "0"};
        auto steady = load;
        steady.insert(steady.end(), {"--seconds", "6"});
        print_row("steady", system.load(steady));
        auto moving = load;
        moving.insert(moving.end(), {"--seconds", "15"});
        const auto run = system.start_load(moving);
        std::this_thread::sleep_for(seconds(3));
        system.tool({"zone", "out", "zone-a"});
        std::this_thread::sleep_for(seconds(5));
        system.tool({"zone", "in", "zone-a"});
        print_row("out and back", deployment::load_result(*run));
    }
}

void measure_overload() {
    deployment_plan plan = small_plan();
    plan.backend_servers = engines(2, {"--token-ms", "5", "--first-token-ms", "20",
                                       "--warm-capacity", "8", "--cold-requests", "1"});
    deployment system(plan);
    system.start();
    warm(system);
    std::cout
        << "\n### Overload\n\n| load | sent | answered | answered a second | refused | refused "
           "p50 ms | refused p95 ms | refused max ms |\n|---|---|---|---|---|---|---|---|\n";
    // Two servers, 8 places each, about 70 ms a request: about 228 a second.
    for (const char* rate : {"200", "456"}) {
        const auto load = system.load({"--service", "pool", "--rate", rate, "--seconds", "12",
                                       "--tokens", "10", "--stream", "0"});
        std::cout << "| " << rate << "/s | " << load["sent"] << " | " << load["answered"] << " | "
                  << load["answered"].get<double>() / load["seconds"].get<double>() << " | "
                  << load["refused"] << " | " << number(load, "refused_ms", "p50") << " | "
                  << number(load, "refused_ms", "p95") << " | " << number(load, "refused_ms", "max")
                  << " |\n";
    }
}

} // namespace citronseam::measurement
