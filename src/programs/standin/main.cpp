// Stand-ins for everything outside the system, for tests and demonstrations.
#include <iostream>

#include <CLI/CLI.hpp>

#include "citronseam/process/log.h"
#include "programs/standin/load_generator.h"
#include "programs/standin/standin_server.h"

namespace {

using namespace citronseam::standin;

void add_platform(CLI::App& app, std::string& address, std::uint64_t& rate, int& lag_ms) {
    auto* store = app.add_subcommand("store", "table service and object store");
    store->add_option("--listen", address, "address, port 0 picks one")->capture_default_str();
    auto* weights = app.add_subcommand("weights", "origin of weights");
    weights->add_option("--listen", address, "address, port 0 picks one")->capture_default_str();
    weights->add_option("--rate", rate, "bytes a second served, 0 is unlimited");
    auto* instances = app.add_subcommand("instances", "list of live and leaving instances");
    instances->add_option("--listen", address, "address, port 0 picks one")->capture_default_str();
    instances->add_option("--lag-ms", lag_ms, "milliseconds until a change shows");
}

void add_engine(CLI::App& app, engine_options& options) {
    auto* engine = app.add_subcommand("engine", "model engine");
    engine->add_option("--listen", options.address, "address, port 0 picks one");
    engine->add_option("--first-token-ms", options.first_token_ms, "time to the first token");
    engine->add_option("--token-ms", options.token_ms, "time between tokens");
    engine->add_option("--cold-capacity", options.cold_capacity, "requests borne while cold");
    engine->add_option("--cold-requests", options.cold_requests, "answers until it is warm");
    engine->add_option("--cold-factor", options.cold_factor, "how many times slower while cold");
    engine->add_option("--warm-capacity", options.warm_capacity, "requests borne while warm");
    engine->add_option("--load-ms", options.load_ms, "time to load a version");
    engine->add_option("--fencing", options.is_fencing, "whether older orders are refused");
    engine->add_flag("--print-record", options.prints_record, "prints what it ran");
    engine->add_option("--miss-factor", options.miss_factor,
                       "how many times longer the first token takes without the prefix");
    engine->add_option("--cache-size", options.cache.size, "prefixes in the cache")
        ->check(CLI::PositiveNumber);
    engine->add_option("--cache-event-lag-ms", options.cache.event_lag_ms,
                       "age of cache events when they are published");
    engine->add_option("--cache-event-gap", options.cache.gap_each,
                       "leaves out each event whose number is a multiple; 0 for none");
    engine->add_option("--falls-over", options.falls_over, "whether overload ends the process");
}

void add_plain(CLI::App& app, plain_options& options) {
    auto* plain = app.add_subcommand("plain", "plain service");
    plain->add_option("--listen", options.address, "address, port 0 picks one");
    plain->add_option("--work-ms", options.work_ms, "time for one request");
    plain->add_flag("--print-record", options.prints_record, "prints what it ran");
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("Stand-ins for the platform and the backend servers, and a small load tool.");
    app.require_subcommand(1);
    std::string address = "127.0.0.1:0";
    std::uint64_t rate = 0;
    int lag_ms = 0;
    engine_options engine;
    plain_options plain;
    load_options load;
    add_platform(app, address, rate, lag_ms);
    add_engine(app, engine);
    add_plain(app, plain);
    add_load_options(app, load);
    CLI11_PARSE(app, argc, argv);
    const std::string command = app.get_subcommands().front()->get_name();
    citronseam::start_log("standin-" + command);
    try {
        if (command == "store") {
            return run_store(address);
        }
        if (command == "weights") {
            return run_weights(address, rate);
        }
        if (command == "instances") {
            return run_instances(address, lag_ms);
        }
        if (command == "engine") {
            return run_engine(engine);
        }
        if (command == "plain") {
            return run_plain(plain);
        }
        return run_load(load);
    } catch (const std::exception& exception) {
        std::cerr << "citronseam-standin: " << exception.what() << "\n";
        return 1;
    }
}
