/// @file
/// The platform's list of instances, the choice of the entries that an agent reports to, and the
/// order in which entries are offered to a caller.
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

/// One row of the platform's list of instances. The list lags behind, so it only gives addresses to
/// connect to; direct connections decide which instances are alive.
struct listed_instance {
    std::string instance;
    process_role role{process_role::entry};
    std::string availability_zone;
    std::string peer_address;
    std::string http_address;
    bool is_leaving{false};
};

/// @return the rows of the platform's list, or an error when the text is malformed
result<std::vector<listed_instance>> parse_instance_list(const std::string& text);

/// Chooses the entries that an agent reports to. Rendezvous hashing keeps the choice nearly the
/// same for lists that differ in a few rows. Entries are chosen from the zones in turn, own zone
/// first, so that each zone has at least one chosen entry if `count` allows.
/// @param agent   instance name of the agent
/// @param zone    its availability zone
/// @param entries candidates
/// @param count   how many to choose
std::vector<listed_instance> choose_entries(std::string_view agent, std::string_view zone,
                                            const std::vector<listed_instance>& entries,
                                            std::size_t count);

/// An entry that may be offered to callers.
struct entry_address {
    std::string instance;
    std::string availability_zone;
    std::string http_address;
    std::uint32_t load{0}; ///< requests running there
};

/// Orders entries for a caller: its zone first, then the others. Each group is shuffled, to
/// distribute callers, with the entries above the mean load last.
/// @param zone    the caller's availability zone, may be empty
/// @param entries entries that are alive and not shutting down
/// @param random  source of randomness
std::vector<entry_address> order_entries_for_caller(std::string_view zone,
                                                    std::vector<entry_address> entries,
                                                    random_source& random);

} // namespace citronseam

#endif
