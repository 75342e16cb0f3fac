/// @file
/// A process of the system as it registers itself in the store.
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

/// One process.
struct member {
    std::string instance;
    process_role role{process_role::gateway};
    std::string zone;
    std::string region;
    std::string peer_address; ///< `host:port` for other processes of the system
    std::string http_address; ///< `host:port` for callers, gateways only
    std::string service;      ///< of the engine beside it, sidecars only
    std::uint64_t incarnation{0};
    bool operator==(const member&) const = default;
};

/// @return the JSON text of a member's row
std::string to_json(const member& process);
/// Reads a member's row.
result<member> parse_member(const std::string& text);

/// A gateway that callers may be sent to.
struct reachable_gateway {
    std::string http_address;
    std::string zone;
    std::string region;
};

/// Gateways that are named to a caller at least, as long as there are so many: when one fails,
/// callers have others to go to before their answer's lifetime is over.
constexpr std::size_t least_named_gateways = 2;

/// Chooses the gateways for a caller: those of its zone; with too few there, those of its region;
/// then all.
/// @param gateways that are ready
/// @param most     how many may be named
std::vector<std::string> choose_addresses(const std::vector<reachable_gateway>& gateways,
                                          std::string_view zone, std::string_view region,
                                          std::size_t most, random_source& random);

} // namespace citronseam

#endif
