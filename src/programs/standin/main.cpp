// Stand-ins for the platform and the backend servers, and a load generator, for tests and demos.
#include <iostream>

#include <CLI/CLI.hpp>

#include "citronseam/process/log.h"
#include "programs/standin/load_generator.h"
#include "programs/standin/standin_server.h"

namespace {

using namespace citronseam::standin;

void add_platform(CLI::App& app, std::string& address, std::uint64_t& bytes_per_second,
                  int& lag_ms) {
    auto* store = app.add_subcommand("store", "table service and object store");
    store->add_option("--listen", address, "listen address; port 0 selects a free port")
        ->capture_default_str();
    auto* weights = app.add_subcommand("weights", "weight origin");
    weights->add_option("--listen", address, "listen address; port 0 selects a free port")
        ->capture_default_str();
    weights->add_option("--rate", bytes_per_second, "bytes served per second, 0 is unlimited");
    auto* instances = app.add_subcommand("instances", "list of live and leaving instances");
    instances->add_option("--listen", address, "listen address; port 0 selects a free port")
        ->capture_default_str();
    instances->add_option("--lag-ms", lag_ms, "milliseconds until a change is visible");
}

void add_engine(CLI::App& app, engine_options& options) {
    auto* engine = app.add_subcommand("engine", "model engine");
    engine->add_option("--listen", options.address, "listen address; port 0 selects a free port");
    engine->add_option("--first-token-ms", options.first_token_ms, "time to the first token");
    engine->add_option("--token-ms", options.token_ms, "time between tokens");
    engine->add_option("--cold-capacity", options.cold_capacity,
                       "maximum concurrent requests while cold");
    engine->add_option("--cold-requests", options.warmup_responses,
                       "completed responses until the engine is warm");
    engine->add_option("--cold-factor", options.cold_delay_factor, "delay multiplier while cold");
    engine->add_option("--warm-capacity", options.warm_capacity,
                       "maximum concurrent requests while warm");
    engine->add_option("--load-ms", options.load_ms, "time to load a version");
    engine->add_option("--fencing", options.is_fencing_enforced,
                       "whether orders with an older fencing token are refused");
    engine->add_flag("--print-record", options.prints_record,
                     "print recorded events to standard output");
    engine->add_option("--miss-factor", options.cache_miss_delay_factor,
                       "first token delay multiplier when the prefix is not cached");
    engine->add_option("--cache-size", options.cache.capacity, "prefix cache capacity")
        ->check(CLI::PositiveNumber);
    engine->add_option("--cache-event-lag-ms", options.cache.event_lag_ms,
                       "delay before a cache event is published");
    engine->add_option("--cache-event-gap", options.cache.dropped_event_interval,
                       "drop every event whose number is a multiple; 0 drops none");
    engine->add_option("--falls-over", options.exits_on_overload,
                       "whether the process exits on overload");
}

void add_plain(CLI::App& app, plain_options& options) {
    auto* plain = app.add_subcommand("plain", "plain service");
    plain->add_option("--listen", options.address, "listen address; port 0 selects a free port");
    plain->add_option("--work-ms", options.work_ms, "processing time of a request");
    plain->add_flag("--print-record", options.prints_record,
                    "print recorded events to standard output");
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("Stand-ins for the platform and the backend servers, and a load generator.");
    app.require_subcommand(1);
    std::string address = "127.0.0.1:0";
    std::uint64_t bytes_per_second = 0;
    int lag_ms = 0;
    engine_options engine;
    plain_options plain;
    load_options load;
    add_platform(app, address, bytes_per_second, lag_ms);
    add_engine(app, engine);
    add_plain(app, plain);
    add_load_options(app, load);
    CLI11_PARSE(app, argc, argv);
    const std::string command = app.get_subcommands().front()->get_name();
    citronseam::initialize_logging("standin-" + command);
    try {
        if (command == "store") {
            return run_store(address);
        }
        if (command == "weights") {
            return run_weights(address, bytes_per_second);
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
