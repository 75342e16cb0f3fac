/// @file
/// Connections to the other entries, and the last reported state of each.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_ENTRY_MESH_H
#define CITRONSEAM_PROGRAMS_ENTRY_ENTRY_MESH_H

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "citronseam/connection/peer_session.h"
#include "citronseam/process/membership.h"

namespace citronseam {

/// One other entry.
struct known_entry {
    std::shared_ptr<peer_session> session;
    entry_address address;
    std::uint64_t incarnation{0};
    std::uint64_t generation{0};
    bool is_leaving{false};
};

/// Registry of the connected entries. Thread-safe.
class entry_mesh {
public:
    /// Adds a connection to or from another entry. Both ends may have dialled: of several
    /// connections to one entry, the latest one with the highest incarnation is used.
    void add(const std::shared_ptr<peer_session>& session, const wire::hello& hello);
    /// Updates an entry from its heartbeat.
    void handle_heartbeat(std::uint64_t session, const wire::heartbeat& message);
    /// Removes a connection.
    void remove(std::uint64_t session);
    /// Sends a frame to every other entry.
    void broadcast(const shared_frame& frame) const;
    /// @return the other entries that are connected
    std::vector<known_entry> list() const;
    /// @return all connections to other entries, of which one entry may have several
    std::vector<std::shared_ptr<peer_session>> sessions() const;
    /// @return whether the session belongs to an entry
    bool is_known(std::uint64_t session) const;

private:
    mutable std::mutex mutex_;
    std::map<std::uint64_t, known_entry> by_session_;
};

} // namespace citronseam

#endif
