/// @file
/// The entry's end of the connection to one agent, which serves one backend server.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_BACKEND_SERVER_LINK_H
#define CITRONSEAM_PROGRAMS_ENTRY_BACKEND_SERVER_LINK_H

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "citronseam/connection/peer_session.h"
#include "citronseam/request/balancer.h"

namespace citronseam {

class request_exchange;

/// Contents of the last heartbeat of an agent.
struct agent_report {
    std::uint64_t generation{0};
    bool is_ready{false};
    bool is_leaving{false};
    std::uint32_t limit{0};
    std::uint32_t running{0};
    std::string model_version;
    std::uint64_t version_since_ms{0}; ///< Unix time in milliseconds
    std::uint32_t chunks_held{0};
    std::uint32_t chunks_total{0};
    std::uint64_t origin_bytes{0};
};

/// Has the lifetime of its connection. A new connection of the same agent gets a new link, so a
/// late frame of the old connection cannot reach a request sent on the new one.
class backend_server_link {
public:
    /// @param session the connection
    /// @param hello   identity that the agent announced
    backend_server_link(std::shared_ptr<peer_session> session, const wire::hello& hello);

    /// @return name of the agent's instance
    const std::string& instance() const noexcept { return instance_; }
    /// @return availability zone of the agent
    const std::string& availability_zone() const noexcept { return availability_zone_; }
    /// @return service of its backend server
    const std::string& service() const noexcept { return service_; }
    /// @return address at which other agents reach it
    const std::string& peer_address() const noexcept { return peer_address_; }
    /// @return number that distinguishes this run of the agent's process from earlier and later
    /// ones
    std::uint64_t incarnation() const noexcept { return incarnation_; }
    /// @return the connection
    const std::shared_ptr<peer_session>& session() const noexcept { return session_; }
    /// @return load figures for the balancer; the address is stable
    backend_server_load& load() noexcept { return load_; }

    /// Updates the load figures and the last report from a heartbeat.
    void handle_heartbeat(const wire::heartbeat& message);
    /// @return the last report
    agent_report report() const;

    /// Sends a request as the given attempt; `exchange` receives its response.
    /// @return false when the connection is closed and nothing was sent
    bool send_request(std::uint64_t attempt, const std::shared_ptr<request_exchange>& exchange,
                      shared_frame frame);
    /// @return the exchange of an attempt, or nullptr when the attempt has already ended
    std::shared_ptr<request_exchange> find_exchange(std::uint64_t attempt) const;
    /// Removes an exchange; frames that arrive for it later are dropped.
    void remove_exchange(std::uint64_t attempt);
    /// Marks the link closed, so that it sends no more requests, and returns its exchanges.
    std::map<std::uint64_t, std::shared_ptr<request_exchange>> close_and_take_exchanges();

private:
    std::shared_ptr<peer_session> session_;
    std::string instance_;
    std::string availability_zone_;
    std::string service_;
    std::string peer_address_;
    std::uint64_t incarnation_;
    backend_server_load load_;

    mutable std::mutex mutex_;
    agent_report report_;
    bool is_closed_{false};
    std::map<std::uint64_t, std::shared_ptr<request_exchange>> exchanges_;
};

} // namespace citronseam

#endif
