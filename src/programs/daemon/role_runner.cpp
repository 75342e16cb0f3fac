#include "programs/daemon/role_runner.h"

#include "citronseam/process/log.h"
#include "citronseam/process/settings.h"
#include "programs/daemon/settings_file.h"
#include "programs/daemon/shutdown_signal.h"

namespace citronseam {
namespace {

/// Reads the settings file again and applies the settings that can change at run time. Addresses
/// and the role change only at the next start. If the file is invalid, the current settings stay.
void reload_settings(const settings& current, const std::function<void(const settings&)>& apply) {
    const auto parsed = read_settings_file(current.file);
    if (!parsed.is_valid()) {
        log_event(log_level::error, "settings_refused",
                  {{"file", current.file}, {"problems", describe(parsed.problems)}});
        return;
    }
    log_event(log_level::info, "settings_reloaded", {{"file", current.file}});
    if (apply) {
        apply(parsed.value);
    }
}

} // namespace

int run_role(const settings& options, const role_callbacks& callbacks) {
    callbacks.start();
    while (shutdown_signal::wait() == shutdown_signal::event::reload) {
        reload_settings(options, callbacks.apply_settings);
    }
    log_event(log_level::info, "leaving", {});
    callbacks.shut_down();
    log_event(log_level::info, "stopped", {});
    return 0;
}

std::string listening_address(const std::string& listen, std::uint16_t port) {
    return parse_host_port(listen)->host + ":" + std::to_string(port);
}

} // namespace citronseam
