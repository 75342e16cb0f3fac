/// @file
/// Registry of the agents connected to this entry and of the dispatchers of their services.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_BACKEND_SERVER_DIRECTORY_H
#define CITRONSEAM_PROGRAMS_ENTRY_BACKEND_SERVER_DIRECTORY_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "citronseam/process/metrics.h"
#include "programs/daemon/control_state_sync.h"
#include "programs/entry/backend_server_link.h"
#include "programs/entry/service_dispatcher.h"

namespace citronseam {

/// Owns the agent connections and the service dispatchers. Thread-safe.
class backend_server_directory {
public:
    /// @param zone            availability zone of the entry
    /// @param state_sync      control state; must outlive this object
    /// @param process_metrics metrics; must outlive this object
    backend_server_directory(std::string zone, const control_state_sync& state_sync,
                             metrics& process_metrics);

    /// Registers a new link. It replaces a link of the same instance whose incarnation is not
    /// higher; a link with a lower incarnation than the registered one is refused.
    /// @return false when the link was refused
    bool add(const std::shared_ptr<backend_server_link>& link);
    /// Removes a link and notifies its exchanges that the connection was lost.
    void remove(const std::shared_ptr<backend_server_link>& link, close_reason reason);
    /// Applies a heartbeat received on a link and dispatches waiting requests.
    void handle_heartbeat(const std::shared_ptr<backend_server_link>& link,
                          const wire::heartbeat& message);
    /// Passes an engine's prefix cache report to the dispatcher of its service.
    void handle_cache_report(const backend_server_link& link,
                             const wire::cache_report& message) const;
    /// Sets how many entries share the backend servers.
    void set_entry_count(std::uint32_t count);
    /// Applies the services and availability zones of the control state.
    void apply_control_state(const control_view& view);
    /// Runs the periodic work of all dispatchers.
    void tick(time_point now);

    /// @return the dispatcher of a service, or nullptr
    std::shared_ptr<service_dispatcher> find_dispatcher(const std::string& service) const;
    /// @return the dispatchers of all services, by name
    std::map<std::string, std::shared_ptr<service_dispatcher>> dispatchers() const;
    /// @return all links
    std::vector<std::shared_ptr<backend_server_link>> links() const;

private:
    void publish(const std::string& service);
    void update_is_accepting(backend_server_link& link) const;

    std::string zone_;
    const control_state_sync& state_sync_;
    metrics& metrics_;
    std::atomic<std::uint32_t> entry_count_{1};
    std::mutex publish_mutex_; ///< prevents an older snapshot from replacing a newer one
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<backend_server_link>> links_; ///< by instance
    std::map<std::string, std::shared_ptr<service_dispatcher>> dispatchers_;
};

} // namespace citronseam

#endif
