/// @file
/// Who reports to whom, and which process instance is which.
#ifndef CITRONSEAM_PROCESS_MEMBERSHIP_H
#define CITRONSEAM_PROCESS_MEMBERSHIP_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/error.h"
#include "citronseam/process/random.h"
#include "citronseam/process/settings.h"

namespace citronseam {

/// One row of the platform's list of instances. The list lags: it seeds, direct contact decides.
struct listed_instance {
    std::string instance;
    process_role role{process_role::entry};
    std::string availability_zone;
    std::string peer_address;
    std::string http_address;
    bool is_leaving{false};
};

/// @return the rows of the platform's list, or an error when it is not one
result<std::vector<listed_instance>> parse_instance_list(const std::string& text);

/// Chooses the entries that an agent reports to: by rendezvous hashing, so that lists that differ
/// in a few rows give nearly the same choice, with at least one entry of each zone that has one as
/// long as there is room, own zone first.
/// @param agent   instance name of the agent
/// @param zone    its availability zone
/// @param entries candidates
/// @param count   how many to choose
std::vector<listed_instance> choose_entries(std::string_view agent, std::string_view zone,
                                            const std::vector<listed_instance>& entries,
                                            std::size_t count);

/// An entry as callers see it.
struct entry_address {
    std::string instance;
    std::string availability_zone;
    std::string http_address;
    std::uint32_t load{0}; ///< requests that run there
};

/// Orders entries for a caller: its zone first, then the others, each group shuffled with the less
/// loaded half in front so that callers spread.
/// @param zone    the caller's availability zone, may be empty
/// @param entries entries that are alive and stay
/// @param random  source of randomness
std::vector<entry_address>
order_for_caller(std::string_view zone, std::vector<entry_address> entries, random_source& random);

} // namespace citronseam

#endif
