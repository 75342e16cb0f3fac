/// @file
/// Decides which chunk an agent fetches next, and from where.
///
/// Each chunk has, in each region, one agent that brings it in over the scarce link: from the
/// origin inside the origin's region, from that region's agents elsewhere. Rendezvous hashing over
/// the agents names it, so no process keeps track. All others wait for the chunk to spread between
/// neighbours. Only when nothing new came for a while do agents of the next rank step in.
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

/// An agent that takes part in spreading a service's versions.
struct swarm_member {
    std::string instance;
    std::string peer_address;
    std::string region;
    bool is_ready{false}; ///< its backend server serves requests

    bool operator==(const swarm_member&) const = default;
};

/// @return how many members of the region stand before `self` in bringing in a chunk; 0: it is the
/// one that does
std::uint32_t draw_rank(std::string_view version, std::size_t chunk, std::string_view self,
                        std::string_view region, const std::vector<swarm_member>& members);

/// Agents of a region that send chunks to each other region. They share the link evenly, so the
/// fewer they are, the less a busy one waits while another's share lies idle.
constexpr std::size_t senders_per_link = 4;

/// @return the agents of the origin's region that send to another region, in the order that all
/// agents of that region agree on
std::vector<swarm_member> region_senders(std::string_view region, std::string_view origin_region,
                                         const std::vector<swarm_member>& members);

/// Whether an agent knows the others well enough to draw. One that has just started hears of them
/// one after the other, and takes the chunks of those it has not heard of yet for its own.
/// @param since_start  time since the process started
/// @param since_change time since the list of members last changed
/// @param settling     time without a change after which the list is taken to be whole; 0: at once
bool is_membership_settled(milliseconds since_start, milliseconds since_change,
                           milliseconds settling) noexcept;

/// Whether an agent draws from the origin without leaving that to agents of the origin's region: it
/// is one of them, or there are none. Agents that were listed a moment ago count as there: the link
/// between the regions may be cut, and all the others would draw what they have got already.
/// @param since_listed time since a member of the origin's region was listed; nothing: none was yet
/// @param patience     time without progress after which another agent steps in
bool is_origin_near(std::string_view region, std::string_view origin_region,
                    const std::vector<swarm_member>& members,
                    std::optional<milliseconds> since_listed, milliseconds patience);

/// Chooses the members that an agent keeps connections to: a bounded number in its own region, and
/// when the region is not the origin's, the agents of the origin's region that send to it.
std::vector<swarm_member> choose_neighbours(std::string_view self, std::string_view region,
                                            std::string_view origin_region,
                                            const std::vector<swarm_member>& members);

/// @return by chunk how many members of all regions stand before `self` in drawing it from the
/// origin, when every region draws its part; 0: it is the one that does. Each member draws as many
/// chunks as the others, or one more: whoever had twice as many would draw long after the others
/// are done, with all of them waiting.
std::vector<std::uint32_t> origin_ranks(std::string_view version, std::size_t chunks,
                                        std::string_view self,
                                        const std::vector<swarm_member>& members);

/// Chooses the members that an agent keeps connections to when every region draws its part: a
/// bounded number in its own region and a few in each other one.
std::vector<swarm_member> choose_neighbours_everywhere(std::string_view self,
                                                       std::string_view region,
                                                       const std::vector<swarm_member>& members);

/// What is known of one connected neighbour.
struct neighbour_state {
    std::vector<bool> held;     ///< by chunk
    std::uint32_t requested{0}; ///< chunks asked for and not yet here
    std::uint32_t faults{0};    ///< chunks with wrong content
    std::uint32_t late{0};      ///< chunks that did not come in time since the last one that did
    bool is_same_region{true};
    double answer_ms{0};               ///< time that its latest answers took; 0: none came yet
    std::optional<std::size_t> sender; ///< its place among the senders to the own region
};

/// A neighbour with this many faults is asked no more for this version.
constexpr std::uint32_t most_faults = 3;
/// A neighbour with this many late chunks is asked again only after it gave a sign of life, or
/// after a while.
constexpr std::uint32_t most_late = 3;

/// Lets a neighbour that was late too often be asked for one chunk again. Its link may have been
/// busy, and with all neighbours shut out nothing would move any more.
/// @param since_late time since its last late chunk
/// @param pause      how long it is left alone
void forgive_late(neighbour_state& neighbour, milliseconds since_late, milliseconds pause) noexcept;

/// Chunks asked of one neighbour at once.
constexpr std::uint32_t requests_per_neighbour = 4;

/// State of fetching one version.
struct fetch_state {
    std::vector<bool> wanted;         ///< by chunk: neither held nor asked for
    std::vector<std::uint32_t> ranks; ///< by chunk, see draw_rank()
    std::vector<neighbour_state> neighbours;
    /// By chunk, see origin_ranks(); empty when only the origin's region draws.
    std::vector<std::uint32_t> origin_ranks;
    /// By chunk: how long it has been seen in other regions only; empty when only the origin's
    /// region draws. The next rank brings a chunk in after import_patience.
    std::vector<milliseconds> far_for;
    std::uint32_t most_requests{0};   ///< chunks asked for at once of all; 0 is unlimited
    std::size_t senders{0};           ///< to the own region; each sends every n-th chunk
    std::uint32_t level{0};           ///< ranks up to this one may use the scarce link
    bool is_origin_near{true};        ///< see is_origin_near()
    std::uint32_t origin_requests{0}; ///< chunks asked of the origin
    std::uint32_t origin_parallel{2}; ///< chunks asked of the origin at once at most
};

/// Time that each rank leaves to the one before it for bringing a chunk into the region. An agent
/// has few neighbours in other regions, so the first rank may not see the chunk.
constexpr milliseconds import_patience{100};

/// One step to take.
struct fetch_choice {
    std::size_t chunk{0};
    std::optional<std::size_t> neighbour; ///< nothing: from the origin
};

/// @return the rarest chunk that can be fetched now, or nothing
std::optional<fetch_choice> choose_fetch(const fetch_state& state, random_source& random);

/// @param idle          time since the last new chunk
/// @param stall_timeout time after which the next rank steps in
std::uint32_t draw_level(milliseconds idle, milliseconds stall_timeout) noexcept;

/// Time after which a fetch or a drawer is taken to be stalled: several chunks' time on the link.
/// @param chunk_size bytes
/// @param rate       bytes a second of the slowest link on the way; 0 is unlimited
/// @param shortest   the result is never below this
milliseconds stall_timeout(std::uint64_t chunk_size, std::uint64_t rate,
                           milliseconds shortest) noexcept;

} // namespace citronseam

#endif
