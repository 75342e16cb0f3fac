/// @file
/// Registration of gateway and sidecar processes in the platform's store, and the choice of
/// gateways for a caller.
#ifndef CITRONSEAM_PROCESS_MEMBER_H
#define CITRONSEAM_PROCESS_MEMBER_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/error.h"
#include "citronseam/process/random.h"
#include "citronseam/process/settings.h"

namespace citronseam {

/// One registered process.
struct member {
    std::string instance;
    process_role role{process_role::gateway};
    std::string zone;
    std::string region;
    std::string peer_address; ///< `host:port` for other processes of the system
    std::string http_address; ///< `host:port` for callers, gateways only
    std::string service;      ///< service of the engine that a sidecar belongs to, sidecars only
    std::uint64_t incarnation{0}; ///< tells apart restarts of the same instance
    bool operator==(const member&) const = default;
};

/// @return the JSON text of a member's row
std::string to_json(const member& process);
/// Parses a member's row.
result<member> parse_member(const std::string& text);

/// A gateway to which callers may be directed.
struct reachable_gateway {
    std::string http_address;
    std::string zone;
    std::string region;
};

/// Minimum number of gateways in a response to a caller, if that many exist: when one fails,
/// callers can use another before the lifetime of the response ends.
constexpr std::size_t min_gateways_per_response = 2;

/// Chooses gateways for a caller: those of its zone, then, while there are too few, also those of
/// its region, and finally all.
/// @param gateways gateways that are ready
/// @param max      upper limit on the number of addresses
std::vector<std::string> choose_gateway_addresses(const std::vector<reachable_gateway>& gateways,
                                                  std::string_view zone, std::string_view region,
                                                  std::size_t max, random_source& random);

} // namespace citronseam

#endif
