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

std::vector<backend_server_plan> engine_plans(int count,
                                              const std::vector<std::string>& arguments) {
    std::vector<backend_server_plan> plans;
    plans.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        plans.push_back({"agent-" + std::to_string(i), "pool", i % 2 == 0 ? "zone-a" : "zone-b",
                         true, arguments});
    }
    return plans;
}

double read_quantile(const nlohmann::json& load, const char* metric, const char* quantile) {
    return load[metric][quantile].get<double>();
}

void print_row(const std::string& name, const nlohmann::json& load) {
    std::cout << "| " << name << " | " << load["sent"] << " | " << load["answered"] << " | "
              << load["refused"] << " | " << load["aborted"] << " | "
              << read_quantile(load, "first_byte_ms", "p50") << " | "
              << read_quantile(load, "first_byte_ms", "p95") << " | "
              << read_quantile(load, "gap_ms", "p50") << " | "
              << read_quantile(load, "gap_ms", "p95") << " | " << load["seconds"] << " |\n";
}

void print_table_header(const std::string& title) {
    std::cout << "\n### " << title
              << "\n\n| what | sent | answered | refused | aborted | first byte p50 ms | p95 ms | "
                 "gap p50 ms | p95 ms "
                 "| s |\n|---|---|---|---|---|---|---|---|---|---|\n";
}

/// CPU time of the machine since boot, in clock ticks. Stolen time went to other virtual machines.
struct cpu_times {
    double total_ticks{0};
    double stolen_ticks{0};
};

cpu_times read_cpu_times() {
    std::ifstream file("/proc/stat");
    std::string word;
    file >> word;
    cpu_times times;
    constexpr int stolen_column = 7;
    double ticks = 0;
    for (int column = 0; column <= stolen_column && file >> ticks; ++column) {
        times.total_ticks += ticks;
        times.stolen_ticks = ticks;
    }
    return times;
}

double stolen_percent(const cpu_times& before, const cpu_times& after) {
    constexpr double percent = 100;
    const double elapsed_ticks = after.total_ticks - before.total_ticks;
    return elapsed_ticks > 0 ? percent * (after.stolen_ticks - before.stolen_ticks) / elapsed_ticks
                             : 0;
}

/// @return the run with the median 95th percentile of the time to first byte
nlohmann::json median_run(std::vector<nlohmann::json> runs) {
    std::sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
        return read_quantile(left, "first_byte_ms", "p95") <
               read_quantile(right, "first_byte_ms", "p95");
    });
    return runs[runs.size() / 2];
}

/// Sends load until all servers have reached their full concurrency limit.
void warm_up(deployment& system) {
    system.load(
        {"--service", "pool", "--rate", "150", "--seconds", "4", "--tokens", "4", "--stream", "0"});
}

const std::map<std::string, std::string> high_limits{
    {"max_concurrency: 8", "max_concurrency: 1000"},
    {"request_timeout: 10s", "request_timeout: 30s"},
    {"queue_limit: 256", "queue_limit: 2000"}};

} // namespace

void measure_entry() {
    deployment_plan plan = small_deployment_plan();
    plan.configuration = test_configuration(high_limits);
    plan.entry_zones = {"zone-a"};
    plan.backend_servers = engine_plans(6, {"--token-ms", "10", "--first-token-ms", "20",
                                            "--warm-capacity", "1000", "--cold-requests", "1"});
    deployment system(plan);
    system.start();
    warm_up(system);
    print_table_header("One entry, streams with tokens 10 ms apart, median of three runs each");
    const std::vector<std::pair<const char*, const char*>> loads{
        {"300", "40"}, {"600", "40"}, {"1500", "40"}, {"1500", "260"}};
    for (const auto& [rate, tokens] : loads) {
        const std::vector<std::string> load{"--service", "pool", "--rate",   rate,
                                            "--seconds", "5",    "--tokens", tokens};
        std::vector<std::string> direct_arguments = load;
        for (int i = 0; i < 6; ++i) {
            direct_arguments.insert(
                direct_arguments.end(),
                {"--target",
                 "http://" + system.address("agent-" + std::to_string(i) + "-server", "http")});
        }
        // Alternates, so that other activity on the machine affects both alike.
        std::vector<nlohmann::json> direct_runs;
        std::vector<nlohmann::json> entry_runs;
        const cpu_times before = read_cpu_times();
        for (int run = 0; run < repetitions; ++run) {
            direct_runs.push_back(system.load(direct_arguments));
            entry_runs.push_back(system.load(load));
        }
        const double stolen_share_percent = stolen_percent(before, read_cpu_times());
        const std::string load_name = std::string(rate) + "/s of " + tokens + " tokens";
        print_row("stand-ins directly, " + load_name, median_run(direct_runs));
        print_row("through the entry, " + load_name, median_run(entry_runs));
        std::cout << "| processor time taken by other machines: " << stolen_share_percent
                  << "% | | | | | | | | | |\n";
    }
}

void measure_zone() {
    for (const bool is_baseline : {true, false}) {
        deployment_plan plan = small_deployment_plan();
        auto changes = high_limits;
        changes["max_concurrency: 8"] = "max_concurrency: 16";
        if (is_baseline) {
            changes["    rollout:\n"] = "    balancing: round_robin\n    rollout:\n";
        }
        plan.configuration = test_configuration(changes);
        plan.backend_servers =
            engine_plans(6, {"--token-ms", "5", "--first-token-ms", "20", "--warm-capacity", "16"});
        deployment system(plan);
        system.start();
        warm_up(system);
        print_table_header(is_baseline ? "Zone out and back, round robin" : "Zone out and back");
        // Three servers remain, with 16 slots each and about 120 ms per request: 400 requests per
        // second. The load is 70% of that.
        const std::vector<std::string> load{"--service", "pool", "--rate",   "280",
                                            "--tokens",  "20",   "--stream", "0"};
        auto steady_arguments = load;
        steady_arguments.insert(steady_arguments.end(), {"--seconds", "6"});
        print_row("steady", system.load(steady_arguments));
        auto zone_change_arguments = load;
        zone_change_arguments.insert(zone_change_arguments.end(), {"--seconds", "15"});
        const auto run = system.start_load(zone_change_arguments);
        std::this_thread::sleep_for(seconds(3));
        system.run_tool({"zone", "out", "zone-a"});
        std::this_thread::sleep_for(seconds(5));
        system.run_tool({"zone", "in", "zone-a"});
        print_row("out and back", deployment::wait_for_load_result(*run));
    }
}

void measure_overload() {
    deployment_plan plan = small_deployment_plan();
    plan.backend_servers = engine_plans(2, {"--token-ms", "5", "--first-token-ms", "20",
                                            "--warm-capacity", "8", "--cold-requests", "1"});
    deployment system(plan);
    system.start();
    warm_up(system);
    std::cout
        << "\n### Overload\n\n| load | sent | answered | answered a second | refused | refused "
           "p50 ms | refused p95 ms | refused max ms |\n|---|---|---|---|---|---|---|---|\n";
    // Two servers with 8 slots each and about 70 ms per request: about 228 requests per second. The
    // second rate is twice that.
    for (const char* rate : {"200", "456"}) {
        const auto load = system.load({"--service", "pool", "--rate", rate, "--seconds", "12",
                                       "--tokens", "10", "--stream", "0"});
        std::cout << "| " << rate << "/s | " << load["sent"] << " | " << load["answered"] << " | "
                  << load["answered"].get<double>() / load["seconds"].get<double>() << " | "
                  << load["refused"] << " | " << read_quantile(load, "refused_ms", "p50") << " | "
                  << read_quantile(load, "refused_ms", "p95") << " | "
                  << read_quantile(load, "refused_ms", "max") << " |\n";
    }
}

} // namespace citronseam::measurement
