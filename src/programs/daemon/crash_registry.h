/// @file
/// Records of requests that crash backend servers, replicated between entries.
#ifndef CITRONSEAM_PROGRAMS_DAEMON_CRASH_REGISTRY_H
#define CITRONSEAM_PROGRAMS_DAEMON_CRASH_REGISTRY_H

#include <functional>
#include <mutex>
#include <vector>

#include "citronseam/connection/wire_message.h"
#include "citronseam/request/quarantine.h"

namespace citronseam {

/// One record as shown to operators.
struct crash_summary {
    std::uint64_t fingerprint{0};
    quarantine_status status{quarantine_status::clear};
    std::vector<lost_server> losses;
    milliseconds expires_in{0};
};

/// Thread-safe access to the quarantine records.
class crash_registry {
public:
    /// @param losses_to_refuse number of lost servers from which on a request is refused
    explicit crash_registry(std::size_t losses_to_refuse);

    /// Sets the function that sends a frame to all other processes with a registry.
    void set_broadcast(std::function<void(const shared_frame&)> broadcast);

    /// Records the loss of a server, and broadcasts it if it is new.
    void record_loss(std::uint64_t fingerprint, const lost_server& loss);
    /// Applies a report of an agent or another entry, and broadcasts it if it changed a record.
    void handle_report(const wire::crash_report& message);
    /// Removes the record of a fingerprint here and at the other processes.
    /// @return whether there was a record here
    bool release(std::uint64_t fingerprint);
    /// @return how to handle a request with this fingerprint
    quarantine_status status_of(std::uint64_t fingerprint) const;
    /// @return time until the record expires
    milliseconds expires_in(std::uint64_t fingerprint) const;
    /// @return all records that are in effect
    std::vector<crash_summary> list() const;
    /// @return frames that send all records to another process
    std::vector<shared_frame> make_report_frames() const;

private:
    bool add_loss(std::uint64_t fingerprint, const lost_server& loss);
    bool remove_record(std::uint64_t fingerprint);

    mutable std::mutex mutex_;
    quarantine state_;
    std::function<void(const shared_frame&)> broadcast_;
};

} // namespace citronseam

#endif
