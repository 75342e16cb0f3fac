/// @file
/// Paces the weights that one agent sends, by link class.
#ifndef CITRONSEAM_VERSION_LINK_PACER_H
#define CITRONSEAM_VERSION_LINK_PACER_H

#include <cstdint>
#include <map>
#include <string>

#include "citronseam/version/token_bucket.h"

namespace citronseam {

/// Rates of one agent in bytes a second; 0 is unlimited.
struct link_rates {
    std::uint64_t near{0};   ///< to agents of the same region
    std::uint64_t region{0}; ///< this agent's share of the link to each other region
    std::uint64_t uplink{0}; ///< of everything that the instance sends
    bool operator==(const link_rates&) const = default;
};

/// Buckets of one agent.
struct link_pacer {
    link_rates rates;
    token_bucket near;
    token_bucket uplink;
    std::map<std::string, token_bucket> regions; ///< by region that is sent to
};

/// Takes rates. Buckets start anew when a rate changed.
void set_rates(link_pacer& pacer, const link_rates& rates, time_point now);

/// Takes the bytes of a piece that is to be sent.
/// @param region  region of the receiver
/// @param is_near whether it is the sender's own
/// @return time to wait before the piece goes
microseconds take_turn(link_pacer& pacer, const std::string& region, bool is_near,
                       std::uint64_t bytes, time_point now);

} // namespace citronseam

#endif
