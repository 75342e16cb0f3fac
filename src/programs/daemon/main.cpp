// The daemon: an entry or an agent, by its settings.
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

#include "citronseam/process/log.h"
#include "citronseam/process/settings.h"
#include "programs/agent/agent.h"
#include "programs/daemon/shutdown_signal.h"
#include "programs/entry/entry.h"

namespace {

constexpr int exit_invalid_settings = 2;
constexpr int exit_failed = 1;

bool read_file(const std::string& path, std::string& content) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return false;
    }
    std::ostringstream text;
    text << file.rdbuf();
    content = text.str();
    return true;
}

int run(const citronseam::settings& options) {
    citronseam::start_log(options.instance);
    try {
        return options.role == citronseam::process_role::entry ? citronseam::run_entry(options)
                                                               : citronseam::run_agent(options);
    } catch (const std::exception& exception) {
        citronseam::log_event(citronseam::log_level::error, "failed",
                              {{"reason", std::string(exception.what())}});
        return exit_failed;
    }
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("citronseamd: an entry or an agent of citronseam.\n"
                 "Exit codes: 0 left in order, 1 failed, 2 settings not accepted.");
    std::string path;
    bool is_check = false;
    app.set_version_flag("--version", CITRONSEAM_VERSION);
    app.add_option("--settings", path, "settings file (YAML)")->required();
    app.add_flag("--check", is_check, "check the settings and end");
    CLI11_PARSE(app, argc, argv);
    std::string content;
    if (!read_file(path, content)) {
        std::cerr << path << ": the file cannot be read\n";
        return exit_invalid_settings;
    }
    const auto read = citronseam::parse_settings(content, path);
    if (!read.is_valid()) {
        std::cerr << citronseam::describe(read.problems);
        return exit_invalid_settings;
    }
    if (is_check) {
        std::cout << path << ": accepted\n";
        return 0;
    }
    citronseam::shutdown_signal::block();
    return run(read.value);
}
