#include "programs/daemon/role_run.h"

#include "citronseam/process/log.h"
#include "citronseam/process/settings.h"
#include "programs/daemon/shutdown_signal.h"

namespace citronseam {

int run_role(const std::function<void()>& start, const std::function<void()>& leave) {
    start();
    const int signal = shutdown_signal::wait();
    log_event(log_level::info, "leaving", {{"signal", signal}});
    leave();
    log_event(log_level::info, "stopped", {});
    return 0;
}

std::string listening_address(const std::string& listen, std::uint16_t port) {
    return parse_host_port(listen)->host + ":" + std::to_string(port);
}

} // namespace citronseam
