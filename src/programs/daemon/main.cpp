// The daemon: runs as an entry, an agent, a gateway or a sidecar, depending on its settings.
#include <iostream>

#include <CLI/CLI.hpp>

#include "citronseam/process/log.h"
#include "citronseam/process/settings.h"
#include "programs/agent/agent.h"
#include "programs/daemon/settings_file.h"
#include "programs/daemon/shutdown_signal.h"
#include "programs/entry/entry.h"
#include "programs/gateway/gateway.h"
#include "programs/sidecar/sidecar.h"

namespace {

constexpr int exit_invalid_settings = 2;
constexpr int exit_failed = 1;

int run(const citronseam::settings& options) {
    citronseam::initialize_logging(options.instance);
    try {
        switch (options.role) {
        case citronseam::process_role::entry:
            return citronseam::run_entry(options);
        case citronseam::process_role::agent:
            return citronseam::run_agent(options);
        case citronseam::process_role::gateway:
            return citronseam::run_gateway(options);
        case citronseam::process_role::sidecar:
            return citronseam::run_sidecar(options);
        }
        return exit_failed;
    } catch (const std::exception& exception) {
        citronseam::log_event(citronseam::log_level::error, "failed",
                              {{"reason", std::string(exception.what())}});
        return exit_failed;
    }
}

} // namespace

int main(int argc, char** argv) {
    // A signal that arrives while the process starts is handled once it runs.
    citronseam::shutdown_signal::block();
    CLI::App app("citronseamd: runs one citronseam process in the role given by its settings.\n"
                 "Exit codes: 0 clean shutdown, 1 failure, 2 invalid settings.");
    std::string path;
    bool is_check_only = false;
    app.set_version_flag("--version", CITRONSEAM_VERSION);
    app.add_option("--settings", path, "settings file (YAML)")->required();
    app.add_flag("--check", is_check_only, "check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    const auto parsed = citronseam::read_settings_file(path);
    if (!parsed.is_valid()) {
        std::cerr << citronseam::describe(parsed.problems);
        return exit_invalid_settings;
    }
    if (is_check_only) {
        std::cout << path << ": accepted\n";
        return 0;
    }
    return run(parsed.value);
}
