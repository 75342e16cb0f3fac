/// @file
/// Limits the rate at which one agent sends weights, separately for each class of link.
#ifndef CITRONSEAM_VERSION_LINK_PACER_H
#define CITRONSEAM_VERSION_LINK_PACER_H

#include <cstdint>
#include <map>
#include <string>

#include "citronseam/version/token_bucket.h"

namespace citronseam {

/// Rates of one agent in bytes per second; 0: unlimited.
struct link_rates {
    std::uint64_t same_region{0};   ///< to agents of the same region
    std::uint64_t remote_region{0}; ///< this agent's share of the link to each other region
    std::uint64_t uplink{0};        ///< all traffic that the instance sends
    bool operator==(const link_rates&) const = default;
};

/// Token buckets of one agent.
struct link_pacer {
    link_rates rates;
    token_bucket same_region;
    token_bucket uplink;
    std::map<std::string, token_bucket> regions; ///< by destination region
};

/// Sets the rates. If any rate changed, all buckets are reset.
void set_rates(link_pacer& pacer, const link_rates& rates, time_point now);

/// Consumes the tokens for a message that is about to be sent.
/// @param region         region of the receiver
/// @param is_same_region whether it is the sender's own region
/// @param bytes          size of the message
/// @return time to wait before sending it
microseconds reserve_send(link_pacer& pacer, const std::string& region, bool is_same_region,
                          std::uint64_t bytes, time_point now);

} // namespace citronseam

#endif
