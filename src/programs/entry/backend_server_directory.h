/// @file
/// The agents that report to this entry, and the dispatchers of their services.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_BACKEND_SERVER_DIRECTORY_H
#define CITRONSEAM_PROGRAMS_ENTRY_BACKEND_SERVER_DIRECTORY_H

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

/// Keeps links and dispatchers. All functions may be called from any thread.
class backend_directory {
public:
    /// @param zone    availability zone of the entry
    /// @param hub     control state; must outlive this object
    /// @param numbers metrics; must outlive this object
    backend_directory(std::string zone, const control_hub& hub, metrics& numbers);

    /// Takes a new link. A link of an older life of the same instance gives way; a link of an
    /// older life that comes after a newer one is refused.
    /// @return false when the link was refused
    bool add(const std::shared_ptr<backend_server_link>& link);
    /// Takes a link off and tells its exchanges that their connection is lost.
    void remove(const std::shared_ptr<backend_server_link>& link, close_reason reason);
    /// Takes a heartbeat of a link.
    void take_report(const std::shared_ptr<backend_server_link>& link,
                     const wire::heartbeat& message);
    /// Takes what an engine says of its cache.
    void take_cache_report(const backend_server_link& link,
                           const wire::cache_report& message) const;
    /// Takes services and zones from the control state.
    void take_control(const control_view& view);
    /// Passes time on to the dispatchers.
    void tick(time_point now);

    /// @return the dispatcher of a service, or nullptr
    std::shared_ptr<service_dispatcher> find_dispatcher(const std::string& service) const;
    /// @return the dispatchers of all services, by name
    std::map<std::string, std::shared_ptr<service_dispatcher>> dispatchers() const;
    /// @return all links
    std::vector<std::shared_ptr<backend_server_link>> links() const;

private:
    void publish(const std::string& service);
    void refresh_acceptance(backend_server_link& link) const;

    std::string zone_;
    const control_hub& hub_;
    metrics& metrics_;
    std::mutex publish_mutex_; ///< keeps an older snapshot from replacing a newer one
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<backend_server_link>> links_; ///< by instance
    std::map<std::string, std::shared_ptr<service_dispatcher>> dispatchers_;
};

} // namespace citronseam

#endif
