/// @file
/// Exchanges chunks with other agents of the service and draws from the origin.
#ifndef CITRONSEAM_PROGRAMS_SWARM_CHUNK_SWARM_H
#define CITRONSEAM_PROGRAMS_SWARM_CHUNK_SWARM_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronseam/connection/dialer.h"
#include "citronseam/connection/peer_listener.h"
#include "citronseam/process/configuration.h"
#include "citronseam/version/chunk_selection.h"
#include "citronseam/version/chunk_store.h"
#include "citronseam/version/link_pacer.h"
#include "programs/swarm/swarm_context.h"

namespace citronseam {

/// Bounds of the weight traffic of one agent; rates in bytes a second, 0 is unlimited.
struct swarm_rates {
    spread_policy spread{spread_policy::peers};
    std::uint64_t own_link{0};        ///< to agents of the same region
    std::uint64_t uplink{0};          ///< of everything that is sent
    std::uint64_t downlink{0};        ///< of everything that is asked for
    std::uint32_t most_requests{0};   ///< chunks asked for at once; 0 is unlimited
    bool is_drawn_everywhere{false};  ///< every region draws its part from the origin
    std::uint64_t region_link{0};     ///< this agent's share of the link to each other region
    std::uint64_t origin{0};          ///< drawn from the origin
    std::uint32_t origin_parallel{2}; ///< chunks asked of the origin at once
    /// Time without progress after which another agent steps in, at least.
    milliseconds shortest_stall{2000};
    /// Time from the begin of a fetch after which a chunk that is still missing is left to the next
    /// rank, even while others arrive; 0: only when nothing arrives.
    milliseconds chunk_patience{0};
    /// After a start: time without news of other agents after which chunks are drawn.
    milliseconds settling{0};
};

/// Fetches the chunks of one version at a time and serves those it holds. State changes on the
/// control thread only.
class chunk_swarm : public std::enable_shared_from_this<chunk_swarm> {
public:
    /// @param context parts of the agent
    /// @param hello   first frame of connections between agents
    chunk_swarm(swarm_context context, std::function<shared_frame()> hello);

    /// Begins to listen for other agents.
    void start();
    /// Closes all connections.
    void stop();
    /// @return port for other agents
    std::uint16_t port() const;

    /// Takes the agents of the service. Control thread.
    void set_members(std::vector<swarm_member> members, const std::string& region,
                     const std::string& origin_region);
    /// Takes the rates. Control thread.
    void set_rates(const swarm_rates& rates);

    /// Takes the list of a version without fetching it: chunks may be adopted and are served.
    /// Control thread.
    void prepare(const std::string& version, const manifest& list);
    /// Fetches a version; chunks that are held already are kept. Control thread.
    /// @param on_whole called once all chunks are held
    void fetch(const std::string& version, const manifest& list, std::function<void()> on_whole);
    /// Takes a chunk that was found elsewhere, if it is one of the version's. Control thread.
    /// @return whether it was
    bool adopt(std::size_t chunk, std::string content);
    /// Asks the connected agents for the pieces of a version whose list the origin does not give.
    /// The answer comes to on_list. Control thread.
    void ask_list(const std::string& version);
    /// Sets what takes lists that other agents sent.
    void on_list(std::function<void(const std::string& version, const manifest& list)> take);
    /// Ends fetching; chunks that are held are still served. Control thread.
    void end_fetch();
    /// Takes the next steps. Call it again and again on the control thread.
    void tick();

    /// @return a chunk that is missing and what is known of it, for logs; empty when none is
    std::string describe_missing() const;
    /// @return the chunks held. Control thread.
    const chunk_store& chunks() const noexcept { return chunks_; }
    /// @return bytes drawn from the origin since the process started
    std::uint64_t origin_bytes() const noexcept { return origin_bytes_; }
    /// @return members as last heard
    const std::vector<swarm_member>& members() const noexcept { return members_; }

private:
    using session_pointer = std::shared_ptr<peer_session>;

    /// A connected agent.
    struct connected_agent {
        session_pointer session;
        std::string instance;
        neighbour_state state;
        std::map<std::size_t, time_point> asked; ///< chunks asked of it, and when
        time_point late_at;                      ///< when its last late chunk was given up
    };
    using agent_map = std::map<std::uint64_t, connected_agent>;

    session_observer make_observer();
    void handle_hello(const session_pointer& session, const wire::hello& hello);
    void handle_message(const session_pointer& session, const wire::envelope& message);
    void handle_closed(const session_pointer& session);
    void take_inventory(std::uint64_t session, const std::string& version, const std::string& held,
                        bool is_question);
    void serve_list(std::uint64_t session, const std::string& version);
    void take_list(const wire::piece_list_replyT& reply);
    const manifest* find_manifest(const std::string& version) const;
    void serve_request(std::uint64_t session, const std::string& version, std::size_t chunk);
    void send_paced(const connected_agent& agent, shared_frame frame);
    void take_chunk(std::uint64_t session, const std::string& version, std::size_t chunk,
                    bool is_found, std::string content);
    void take_drawn(const std::string& version, std::size_t chunk, const http_answer& answer);
    bool is_missing(std::size_t chunk) const;
    void add_valid(std::size_t chunk, std::string content);
    void ask_all();
    void ask_neighbour(std::size_t chunk, std::uint64_t session);
    void draw(std::size_t chunk);
    void give_up_late(time_point now);
    void send_inventories();
    void send_inventory(connected_agent& agent, bool is_question) const;
    void finish_if_whole();
    void rank_chunks();
    void choose_targets();
    std::vector<milliseconds> note_far_chunks(time_point now);
    fetch_state make_state(std::vector<std::uint64_t>& sessions, time_point now);
    milliseconds patience() const;
    std::optional<milliseconds> since_origin_region(time_point now) const;
    std::string region_of_member(const std::string& instance) const;
    void place(connected_agent& agent) const;
    bool is_alone() const noexcept;
    bool is_fetching() const noexcept { return on_whole_ != nullptr; }

    swarm_context context_;
    std::function<shared_frame()> hello_;
    std::shared_ptr<peer_listener> listener_;
    std::shared_ptr<dialer> dialer_;
    random_source random_;

    std::vector<swarm_member> members_;
    std::string region_;
    std::string origin_region_;
    time_point started_at_{std::chrono::steady_clock::now()};
    time_point members_changed_at_{started_at_};
    time_point origin_region_listed_at_; ///< when a member of it was last known
    std::vector<swarm_member> senders_;  ///< to this region, in their order
    swarm_rates rates_;
    link_pacer pacer_;
    token_bucket asking_; ///< paces what is asked for

    std::string version_;
    manifest manifest_;
    std::string earlier_version_; ///< still served, for agents that are not done with it
    manifest earlier_manifest_;
    std::function<void(const std::string&, const manifest&)> on_list_;
    chunk_store chunks_;
    std::vector<bool> is_wanted_;
    std::vector<std::uint32_t> ranks_;
    std::vector<std::uint32_t> origin_ranks_; ///< when every region draws its part
    std::function<void()> on_whole_;
    std::vector<time_point> far_since_; ///< by chunk: first seen in another region
    time_point fetch_began_at_;
    time_point last_progress_;
    bool has_news_{false};
    agent_map agents_; ///< by session
    std::uint32_t origin_requests_{0};
    std::uint64_t origin_bytes_{0};
};

} // namespace citronseam

#endif
