/// @file
/// Exchanges chunks with other agents of the service and fetches chunks from the origin.
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
#include "citronseam/version/chunk_digests.h"
#include "citronseam/version/chunk_selection.h"
#include "citronseam/version/chunk_store.h"
#include "citronseam/version/held_version.h"
#include "citronseam/version/link_pacer.h"
#include "programs/swarm/swarm_context.h"

namespace citronseam {

/// Limits of the weight traffic of one agent; rates in bytes per second, 0: unlimited.
struct swarm_rates {
    chunk_source_policy chunk_source{chunk_source_policy::peers};
    std::uint64_t same_region_rate{0};         ///< to agents of the same region
    std::uint64_t uplink{0};                   ///< all weights sent
    std::uint64_t downlink{0};                 ///< all weights requested
    std::uint32_t max_requests{0};             ///< outstanding chunk requests; 0: unlimited
    bool is_origin_used_by_all_regions{false}; ///< every region fetches a share from the origin
    std::uint64_t remote_region_rate{0};  ///< this agent's share of the link to each other region
    std::uint64_t origin{0};              ///< per request to the origin
    std::uint32_t max_origin_requests{2}; ///< outstanding requests to the origin
    /// Lower bound of the time without progress after which another agent takes over.
    milliseconds min_stall_timeout{2000};
    /// Each time this elapses after the start of a fetch, the next rank may fetch the chunks that
    /// are still missing, even while others arrive; 0: only when no chunks arrive.
    milliseconds chunk_failover_delay{0};
    /// Time without membership changes after startup until chunks are fetched from the origin.
    milliseconds settling_time{0};
};

/// Fetches the chunks of one version at a time and serves the chunks that it holds. State changes
/// on the control thread only.
class chunk_swarm : public std::enable_shared_from_this<chunk_swarm> {
public:
    /// @param context dependencies on the process
    /// @param hello   makes the first frame of each connection to another agent
    chunk_swarm(swarm_context context, std::function<shared_frame()> hello);

    /// Starts to listen for other agents.
    void start();
    /// Closes all connections.
    void stop();
    /// @return port that listens for other agents
    std::uint16_t port() const;

    /// Sets the agents of the service. Control thread.
    void set_members(std::vector<swarm_member> members, const std::string& region,
                     const std::string& origin_region);
    /// Sets the rates. Control thread.
    void set_rates(const swarm_rates& rates);

    /// Sets the current version without fetching it: chunks can be added by add_local_chunk() and
    /// are served. Control thread.
    void prepare(const std::string& version, const manifest& list);
    /// Fetches a version, except for chunks that are already held. Control thread.
    /// @param on_complete called once all chunks are held
    void fetch(const std::string& version, const manifest& list, std::function<void()> on_complete);
    /// Takes hashes that became known for the current version. Control thread.
    /// @return whether any changed that a chunk is missing for
    bool amend(const std::string& version, const manifest& list);
    /// Adds a chunk that was obtained outside the swarm. Control thread.
    /// @return whether its hash matches the manifest
    bool add_local_chunk(std::size_t chunk, std::string content);
    /// Asks the connected agents for the manifest of a version, for when the origin does not
    /// provide it. Replies go to the handler set by set_manifest_handler(). Control thread.
    void request_manifest(const std::string& version);
    /// Called with the list that another agent sent, and the agent.
    using list_handler = std::function<void(const std::string& version, const digest_list& list,
                                            const std::string& instance)>;
    /// Sets the handler for lists that other agents send.
    void set_list_handler(list_handler handler);
    /// Called when a chunk of the current version does not match an unidentified list. An agent
    /// that sent it was asked for its list.
    using mismatch_handler =
        std::function<void(const std::string& version, std::size_t chunk, list_source source)>;
    /// Sets the handler for chunks that do not match.
    void set_mismatch_handler(mismatch_handler handler);
    /// Stops fetching; chunks that are held are still served. Control thread.
    void stop_fetch();
    /// Expires requests, announces new chunks and sends requests. To be called periodically on the
    /// control thread.
    void tick();

    /// @return description of the first missing chunk and of its requests and holders, for logs;
    /// empty if none is missing
    std::string describe_missing() const;
    /// @return the current version and which of its chunks are held. Control thread.
    const held_version& version() const noexcept { return current_; }
    /// @return the chunks held. Control thread.
    const chunk_store& chunks() const noexcept { return chunks_; }
    /// @return bytes received from the origin since the process started
    std::uint64_t origin_bytes() const noexcept { return origin_bytes_; }
    /// @return members as last set
    const std::vector<swarm_member>& members() const noexcept { return members_; }

private:
    using session_pointer = std::shared_ptr<peer_session>;

    /// A connected agent.
    struct connected_agent {
        session_pointer session;
        std::string instance;
        neighbour_state state;
        std::map<std::size_t, time_point> requested_at; ///< by requested chunk
        time_point timed_out_at;                        ///< of its last request that timed out
    };
    using agent_map = std::map<std::uint64_t, connected_agent>;

    session_observer make_observer();
    void handle_hello(const session_pointer& session, const wire::hello& hello);
    void handle_message(const session_pointer& session, const wire::envelope& message);
    void handle_closed(const session_pointer& session);
    void handle_inventory(std::uint64_t session, const std::string& version,
                          const std::string& held, bool is_question);
    void handle_manifest_request(std::uint64_t session, const std::string& version);
    void handle_list_reply(std::uint64_t session, const wire::piece_list_replyT& reply);
    const held_version* find_version(const std::string& version) const;
    void handle_chunk_request(std::uint64_t session, const std::string& version, std::size_t chunk);
    void send_paced(const connected_agent& agent, shared_frame frame);
    void handle_chunk_reply(std::uint64_t session, const std::string& version, std::size_t chunk,
                            bool is_found, std::string content);
    void handle_origin_chunk(const std::string& version, std::size_t chunk,
                             const http_response& response);
    void set_wanted(std::size_t chunk);
    bool store_valid_chunk(std::size_t chunk, std::string& content);
    void handle_origin_mismatch(std::size_t chunk, const std::string& content);
    void handle_agent_mismatch(connected_agent& agent, std::size_t chunk,
                               const std::string& content);
    void report_mismatch(std::size_t chunk, list_source source, const std::string& from,
                         const std::string& content);
    void request_chunks();
    void request_from_neighbour(std::size_t chunk, std::uint64_t session);
    void request_from_origin(std::size_t chunk);
    void expire_requests(time_point now);
    void send_inventories();
    void send_inventory(connected_agent& agent, bool is_question) const;
    void finish_if_complete();
    void update_ranks();
    void update_connections();
    std::vector<milliseconds> track_remote_only_chunks(time_point now);
    fetch_state make_state(std::vector<std::uint64_t>& sessions, time_point now);
    milliseconds current_stall_timeout() const;
    std::optional<milliseconds> since_origin_region_listed(time_point now) const;
    std::string region_of_member(const std::string& instance) const;
    void update_location(connected_agent& agent) const;
    bool is_origin_only() const noexcept;
    bool is_fetching() const noexcept { return on_complete_ != nullptr; }

    swarm_context context_;
    std::function<shared_frame()> make_hello_;
    std::shared_ptr<peer_listener> listener_;
    std::shared_ptr<dialer> dialer_;
    random_source random_;

    std::vector<swarm_member> members_;
    std::string region_;
    std::string origin_region_;
    time_point started_at_{std::chrono::steady_clock::now()};
    time_point members_changed_at_{started_at_};
    time_point origin_region_listed_at_; ///< when it last had a listed member
    std::vector<swarm_member> senders_;  ///< to this region, see region_senders()
    swarm_rates rates_;
    link_pacer pacer_;
    token_bucket download_bucket_; ///< limits the rate of requested bytes

    held_version current_;
    held_version previous_; ///< still served to agents that are fetching it
    list_handler on_list_;
    mismatch_handler on_mismatch_;
    chunk_store chunks_;
    std::vector<bool> is_wanted_;
    std::vector<std::uint32_t> ranks_;
    std::vector<std::uint32_t> origin_ranks_; ///< see is_origin_used_by_all_regions
    std::function<void()> on_complete_;
    std::vector<time_point> remote_only_since_; ///< by chunk: since when held in other regions only
    time_point fetch_started_at_;
    time_point last_progress_at_;
    bool is_inventory_changed_{false};
    agent_map agents_; ///< by session number
    std::uint32_t origin_requests_{0};
    std::uint32_t origin_mismatches_{0}; ///< since the last chunk of the origin that matched
    time_point origin_retry_at_;         ///< no chunk is requested from the origin before
    std::uint64_t origin_bytes_{0};
};

} // namespace citronseam

#endif
