/// @file
/// Decides which chunk an agent fetches next, and from where.
///
/// In each region, one agent per chunk fetches it over the slow link: from the origin in the
/// origin's region, from agents of the origin's region elsewhere. Rendezvous hashing over the
/// agents selects it, so no coordinator is needed. All other agents receive the chunk from their
/// neighbours. When no new chunk has arrived for a while, the agent of the next rank takes over.
#ifndef CITRONSEAM_VERSION_CHUNK_SELECTION_H
#define CITRONSEAM_VERSION_CHUNK_SELECTION_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/random.h"

namespace citronseam {

/// An agent that exchanges the chunks of a service's model versions.
struct swarm_member {
    std::string instance;
    std::string peer_address;
    std::string region;
    bool is_ready{false}; ///< its backend server serves requests

    bool operator==(const swarm_member&) const = default;
};

/// @return number of members of the region that rank before `self` for fetching a chunk into the
/// region; 0: `self` fetches it
std::uint32_t regional_fetch_rank(std::string_view version, std::size_t chunk,
                                  std::string_view self, std::string_view region,
                                  const std::vector<swarm_member>& members);

/// Agents of the origin's region that send chunks to each other region. Each has an equal share of
/// the link, so with fewer senders less of it is unused while one sender is busy and another idle.
constexpr std::size_t senders_per_remote_region = 4;

/// @return the agents of the origin's region that send to `region`, in the same order for every
/// caller
std::vector<swarm_member> region_senders(std::string_view region, std::string_view origin_region,
                                         const std::vector<swarm_member>& members);

/// Whether the list of members is stable enough to fetch from the origin. An agent that has just
/// started discovers the others one by one, and until then would fetch their chunks as well.
/// @param since_start   time since the process started
/// @param since_change  time since the list of members last changed
/// @param settling_time time without a change after which the list counts as complete; 0: at once
bool is_membership_stable(milliseconds since_start, milliseconds since_change,
                          milliseconds settling_time) noexcept;

/// Whether an agent fetches from the origin itself instead of from agents of the origin's region:
/// it is in that region, or the region has no agents. Agents that were listed recently still count:
/// the link between the regions may be down, and fetching from the origin would repeat chunks that
/// they already hold.
/// @param since_listed   time since a member of the origin's region was listed; nullopt: never
/// @param failover_delay time without progress after which another agent takes over
bool has_direct_origin_access(std::string_view region, std::string_view origin_region,
                              const std::vector<swarm_member>& members,
                              std::optional<milliseconds> since_listed,
                              milliseconds failover_delay);

/// Chooses the members that an agent keeps connections to: a bounded number in its own region and,
/// if that is not the origin's region, the agents of the origin's region that send to it.
std::vector<swarm_member> choose_neighbours(std::string_view self, std::string_view region,
                                            std::string_view origin_region,
                                            const std::vector<swarm_member>& members);

/// Ranks for the mode in which every region fetches a share of the chunks from the origin.
/// @return for each chunk, number of members of all regions that rank before `self` for fetching it
/// from the origin; 0: `self` fetches it. Members get equally many chunks, give or take one: all
/// would wait for a member with twice as many.
std::vector<std::uint32_t> origin_fetch_ranks(std::string_view version, std::size_t chunks,
                                              std::string_view self,
                                              const std::vector<swarm_member>& members);

/// Chooses the members that an agent keeps connections to when every region fetches a share of the
/// chunks from the origin: a bounded number in its own region and a few in each other one.
std::vector<swarm_member>
choose_neighbours_in_all_regions(std::string_view self, std::string_view region,
                                 const std::vector<swarm_member>& members);

/// State of one connected neighbour.
struct neighbour_state {
    std::vector<bool> held;                ///< by chunk
    std::uint32_t outstanding_requests{0}; ///< chunks requested and not yet received
    std::uint32_t corrupt_chunks{0};       ///< received chunks that failed verification
    /// Chunks that timed out since the last one that arrived in time.
    std::uint32_t timed_out_chunks{0};
    bool is_same_region{true};
    double response_time_ms{0};              ///< moving average; 0: no reply yet
    std::optional<std::size_t> sender_index; ///< index in region_senders()
};

/// A neighbour with this many corrupt chunks gets no more requests for this version.
constexpr std::uint32_t max_corrupt_chunks = 3;
/// A neighbour with this many timed-out chunks gets no requests until it sends an inventory or a
/// chunk, or until a cooldown has passed.
constexpr std::uint32_t max_timed_out_chunks = 3;

/// Allows one more request to a neighbour that reached max_timed_out_chunks. Its link may only have
/// been busy, and with all neighbours excluded the fetch would never continue.
/// @param since_timeout time since its last timed-out chunk
/// @param cooldown      time for which it is excluded
void readmit_timed_out_neighbour(neighbour_state& neighbour, milliseconds since_timeout,
                                 milliseconds cooldown) noexcept;

/// Upper bound on the outstanding requests to one neighbour.
constexpr std::uint32_t max_requests_per_neighbour = 4;

/// State of fetching one version.
struct fetch_state {
    std::vector<bool> wanted;         ///< by chunk: neither held nor requested
    std::vector<std::uint32_t> ranks; ///< by chunk, see regional_fetch_rank()
    std::vector<neighbour_state> neighbours;
    /// By chunk, see origin_fetch_ranks(); empty when only the origin's region uses the origin.
    std::vector<std::uint32_t> origin_fetch_ranks;
    /// By chunk: how long it has been held in other regions only; empty when only the origin's
    /// region uses the origin. See import_failover_delay.
    std::vector<milliseconds> remote_only_durations;
    std::uint32_t max_requests{0};        ///< outstanding requests in total; 0: unlimited
    std::size_t sender_count{0};          ///< to the own region; each sends every n-th chunk
    std::uint32_t failover_level{0};      ///< ranks up to this one may use the slow link
    bool has_direct_origin_access{true};  ///< see has_direct_origin_access()
    std::uint32_t origin_requests{0};     ///< outstanding requests to the origin
    std::uint32_t max_origin_requests{2}; ///< limit of origin_requests
};

/// Time that each rank waits for the previous rank to fetch a chunk into the region. An agent has
/// few neighbours in other regions, so the first rank may have none that holds the chunk.
constexpr milliseconds import_failover_delay{100};

/// The next chunk to request and its source.
struct fetch_choice {
    std::size_t chunk{0};
    std::optional<std::size_t> neighbour; ///< nullopt: from the origin
};

/// @return the rarest chunk that can be requested now, or nullopt
std::optional<fetch_choice> choose_fetch(const fetch_state& state, random_source& random);

/// @param idle          time since the last new chunk
/// @param stall_timeout time after which the next rank takes over
/// @return highest rank that may use the slow link
std::uint32_t compute_failover_level(milliseconds idle, milliseconds stall_timeout) noexcept;

/// Time without progress after which a fetch counts as stalled: the transfer time of many chunks.
/// @param chunk_size bytes
/// @param rate       bytes per second of the slowest link on the path; 0: unlimited
/// @param minimum    lower bound of the result
milliseconds stall_timeout(std::uint64_t chunk_size, std::uint64_t rate,
                           milliseconds minimum) noexcept;

} // namespace citronseam

#endif
