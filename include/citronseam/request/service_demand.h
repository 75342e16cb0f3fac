/// @file
/// Demand for a service: what the callers of one process ask for, and of all processes together.
/// Performs no I/O.
#ifndef CITRONSEAM_REQUEST_SERVICE_DEMAND_H
#define CITRONSEAM_REQUEST_SERVICE_DEMAND_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam {

/// A rate that follows its events with exponential decay.
struct decaying_rate {
    double per_second{0}; ///< at `updated_at`
    time_point updated_at;
};

/// Adds an amount at `now`.
void add_to_rate(decaying_rate& rate, double amount, time_point now) noexcept;
/// @return the rate a second at `now`
double rate_at(const decaying_rate& rate, time_point now) noexcept;

/// Tokens a second of a workspace's requests, of prompt and answer.
struct workspace_rates {
    decaying_rate offered;
    decaying_rate sent;
};

/// Demand of the callers of this process for one service and rank.
struct rank_demand {
    decaying_rate offered; ///< requests, each counted once
    decaying_rate sent;    ///< requests that were sent on
    std::uint32_t waiting{0};
    std::map<std::string, workspace_rates, std::less<>> workspaces;
};

/// Identifies a rank_demand.
struct demand_key {
    std::string service;
    int rank{0}; ///< 0 is first

    bool operator<(const demand_key& other) const {
        return service != other.service ? service < other.service : rank < other.rank;
    }
};

using own_demand = std::map<demand_key, rank_demand>;

/// A rank's demand as another process reports it.
struct reported_demand {
    demand_key key;
    double offered{0}; ///< requests a second
    double sent{0};    ///< requests a second
    std::uint32_t waiting{0};
    /// Tokens a second of each workspace.
    struct workspace {
        std::string name;
        double offered{0};
        double sent{0};
    };
    std::vector<workspace> workspaces;
};

/// Last report of another process.
struct peer_demand {
    std::string zone;
    std::vector<reported_demand> ranks;
    time_point received_at;
};

using peer_demands = std::map<std::string, peer_demand, std::less<>>; ///< by instance

/// Age from which the report of another process no longer counts.
constexpr milliseconds max_demand_age{3000};

/// @return what this process tells the others; ranks without demand are left out
/// @param with_workspaces whether the workspaces are listed
std::vector<reported_demand> make_demand_report(const own_demand& own, bool with_workspaces,
                                                time_point now);

/// @return requests a second that the other processes of a zone are asked for. While they have not
/// reported, they count as asked for as much as this one.
/// @param process_count processes of the zone, this one included
double demand_of_others(const own_demand& own, const peer_demands& peers, std::string_view service,
                        std::string_view zone, std::size_t process_count, time_point now);

} // namespace citronseam

#endif
