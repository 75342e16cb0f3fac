/// @file
/// Fetches the chunks of the weights that the operator announced.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_FETCHER_H
#define CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_FETCHER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "citronseam/version/chunk_digests.h"
#include "citronseam/version/fetch_order.h"
#include "programs/sidecar/complete_weights.h"
#include "programs/sidecar/engine_monitor.h"
#include "programs/sidecar/sidecar_context.h"
#include "programs/sidecar/weights_proof_table.h"
#include "programs/swarm/chunk_swarm.h"

namespace citronseam {

/// Stage of a fetch.
enum class fetch_step : std::uint8_t {
    list,  ///< the list of chunks is not known yet
    adopt, ///< reads chunks that are already staged at the engine
    fetch, ///< fetches chunks from other sidecars and the origin
    done   ///< all chunks are held
};
/// @return the name of a step, for logs
std::string_view name(fetch_step step) noexcept;

/// Fetches one version after the other. Everything runs on the control thread.
///
/// No list of chunks is believed: see chunk_digests. As long as a chunk is missing that did not
/// match, or whose digests are disputed, further lists are requested.
class weights_fetcher : public std::enable_shared_from_this<weights_fetcher> {
public:
    /// Called with weights of which all chunks have been fetched.
    using complete_handler = std::function<void(std::shared_ptr<const complete_weights>)>;

    weights_fetcher(sidecar_context& context, engine_monitor& engine, weights_proof_table& proofs,
                    std::shared_ptr<chunk_swarm> swarm, complete_handler on_complete);

    /// Sets the weights to fetch. Weights that are not newer than the current target are ignored.
    void set_target(const target_weights& target);
    /// Corrects when a version was announced.
    void set_announced_at(const target_weights& target);
    /// Handles a list that another sidecar sent.
    void handle_member_list(const std::string& version, const digest_list& list,
                            const std::string& instance);
    /// Handles a chunk that did not match.
    void handle_mismatch(const std::string& version, std::size_t chunk, list_source source);
    /// Sets the shape of the weights that the configuration states.
    void set_shape(const weights_shape& shape);
    /// Sets the origin's address; empty: unknown.
    void set_origin(const std::string& address) { origin_ = address; }
    /// Advances the fetch. To be called periodically.
    void reconcile();

    /// @return the newest weights that were announced
    const target_weights& newest() const noexcept { return newest_; }
    /// @return estimated time until the newest weights are complete, from the progress so far
    milliseconds newest_remaining_time() const;
    /// @return the request that fetches a chunk from the origin
    http_request make_origin_request(std::size_t chunk) const;

private:
    /// @return a handler that ignores responses to requests of an earlier step
    template<typename Function>
    auto make_step_handler(Function function);

    void start_planned_version(time_point now);
    void start_version(const target_weights& target);
    void set_step(fetch_step step);
    bool is_list_wanted() const;
    bool is_open(std::size_t chunk) const;
    void request_chunk_list();
    void handle_chunk_list(const http_response& response);
    bool use_list(const digest_list& list, const std::string& from);
    void schedule_next_list(bool needs_second);
    bool is_staging_trusted() const;
    void request_proof();
    void keep_proof();
    void read_staged_chunks();
    void read_next_staged_chunk(std::size_t chunk);
    void start_fetch();
    void finish();
    milliseconds remaining_time(time_point now) const;
    void log_progress(time_point now);

    sidecar_context& context_;
    engine_monitor& engine_;
    weights_proof_table& proofs_;
    std::shared_ptr<chunk_swarm> swarm_;
    complete_handler on_complete_;
    std::string origin_;
    target_weights target_;
    target_weights newest_;           ///< fetched now or after target_
    std::vector<planned_fetch> plan_; ///< of newest_.model
    weights_shape shape_;
    chunk_digests digests_;           ///< of target_
    std::vector<bool> is_mismatched_; ///< by chunk of target_: some bytes did not match
    bool is_list_outstanding_{false}; ///< at the origin
    bool is_follow_up_{false};        ///< the next list is requested to confirm the last one
    weights_proof proof_;             ///< of target_, from the store
    bool is_proof_requested_{false};
    std::uint64_t list_epoch_{0}; ///< incremented by each start of a version
    time_point list_retry_at_;
    milliseconds list_delay_{};
    fetch_step step_{fetch_step::done};
    std::uint64_t epoch_{0}; ///< incremented by each change of the step
    bool is_busy_{false};    ///< a request is outstanding
    time_point fetch_started_at_;
    time_point progress_logged_at_;
};

} // namespace citronseam

#endif
