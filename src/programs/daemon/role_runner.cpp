#include "programs/daemon/role_runner.h"

#include "citronseam/process/log.h"
#include "citronseam/process/settings.h"
#include "programs/daemon/settings_file.h"
#include "programs/daemon/shutdown_signal.h"

namespace citronseam {
namespace {

/// Reads the settings again. What a running process can take over it does; addresses and the role
/// hold until the next start, and so do settings that are not accepted.
void reload(const settings& current, const std::function<void(const settings&)>& take) {
    const auto read = read_settings_file(current.file);
    if (!read.is_valid()) {
        log_event(log_level::error, "settings_refused",
                  {{"file", current.file}, {"problems", describe(read.problems)}});
        return;
    }
    log_event(log_level::info, "settings_reloaded", {{"file", current.file}});
    if (take) {
        take(read.value);
    }
}

} // namespace

int run_role(const settings& options, const role_actions& actions) {
    actions.start();
    while (shutdown_signal::wait() == shutdown_signal::event::reload) {
        reload(options, actions.take_settings);
    }
    log_event(log_level::info, "leaving", {});
    actions.leave();
    log_event(log_level::info, "stopped", {});
    return 0;
}

std::string listening_address(const std::string& listen, std::uint16_t port) {
    return parse_host_port(listen)->host + ":" + std::to_string(port);
}

} // namespace citronseam
