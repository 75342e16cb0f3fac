/// @file
/// Quarantine for requests that crash the backend servers that run them.
///
/// Every entry counts, by fingerprint, the backend servers that were lost while they ran a request.
/// The request runs alone on its server after the first loss, so that a second loss cannot be due
/// to a concurrent request, and is refused after the second one. A record lasts until it expires or
/// the request is answered. Gateways cannot reserve a server; see crash_attribution.h.
#ifndef CITRONSEAM_REQUEST_QUARANTINE_H
#define CITRONSEAM_REQUEST_QUARANTINE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam {

/// A backend server that was lost while running a request.
struct lost_server {
    std::string instance;
    std::uint64_t incarnation{0}; ///< of the backend server's process, as counted by its agent

    bool operator==(const lost_server&) const = default;
};

/// Server losses attributed to one fingerprint.
struct crash_record {
    std::vector<lost_server> losses;
    time_point last_loss;
};

/// Quarantine records of one process.
struct quarantine {
    std::unordered_map<std::uint64_t, crash_record> records;
    milliseconds lifetime{600000}; ///< a record expires this long after its last loss
    std::size_t losses_to_refuse{2};
};

/// How a request must be handled.
enum class quarantine_status : std::uint8_t {
    clear,     ///< no losses
    suspected, ///< at least one loss: run it alone where that is possible
    refused    ///< as many losses as a refusal needs: do not run it
};
/// @return the name of a status as shown to operators
std::string_view name(quarantine_status status) noexcept;

/// @param scope what the target belongs to: a service, or a host and a workspace
/// @return the fingerprint of a request, a hash of its scope, method, target and body
std::uint64_t request_fingerprint(std::string_view scope, std::string_view method,
                                  std::string_view target, std::string_view body) noexcept;

/// Records a loss; the same loss reported twice counts once.
/// @return whether the record changed and must be sent to the other entry processes
bool record_loss(quarantine& state, std::uint64_t fingerprint, const lost_server& loss,
                 time_point now);

/// @return how a request with this fingerprint must be handled now
quarantine_status quarantine_status_of(const quarantine& state, std::uint64_t fingerprint,
                                       time_point now) noexcept;

/// @return time until the record expires, zero when there is none
milliseconds time_to_expiry(const quarantine& state, std::uint64_t fingerprint,
                            time_point now) noexcept;

/// Removes the record of a fingerprint, for example when an operator releases it or the request
/// completed.
/// @return whether there was a record
bool release_fingerprint(quarantine& state, std::uint64_t fingerprint);

/// Removes expired records, and the oldest ones beyond a fixed number.
void expire_records(quarantine& state, time_point now);

} // namespace citronseam

#endif
