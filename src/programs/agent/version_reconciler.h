/// @file
/// Updates the agent's engine to the model version that the configuration selects.
#ifndef CITRONSEAM_PROGRAMS_AGENT_VERSION_RECONCILER_H
#define CITRONSEAM_PROGRAMS_AGENT_VERSION_RECONCILER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronseam/version/manifest.h"
#include "programs/agent/agent_context.h"
#include "programs/agent/engine_client.h"
#include "programs/agent/permit_holder.h"
#include "programs/swarm/chunk_swarm.h"

namespace citronseam {

/// Progress of a version update, as an agent reports it.
struct version_progress {
    std::string active_version;       ///< version that the engine serves
    std::uint64_t active_since_ms{0}; ///< Unix time in milliseconds
    std::string target_version;       ///< version that the configuration selects
    std::uint32_t chunks_held{0};     ///< chunks of the target version that this agent has
    std::uint32_t chunks_total{0};    ///< chunks in the target version, 0 without a manifest
    std::uint64_t origin_bytes{0};    ///< fetched from the origin since the process started
};

/// Reconciles the engine's version with the configuration. All functions run on the control thread.
///
/// Steps: manifest, chunks, upload to the engine, permits, drain, load. A failed step is retried by
/// a later call of reconcile(), and dropped when a newer generation selects another version. An
/// engine without a version needs no permit, because it serves no requests that a load could
/// interrupt.
class version_reconciler : public std::enable_shared_from_this<version_reconciler> {
public:
    /// @param context shared state of the agent
    /// @param swarm   fetches chunks
    version_reconciler(agent_context& context, std::shared_ptr<chunk_swarm> swarm);

    /// Compares the engine's version with the target version and takes the next step. Call it
    /// periodically.
    void reconcile();
    /// Processes the engine's status.
    /// @param status an error when the engine did not respond
    void handle_status(const result<engine_status>& status);
    /// @return the current progress
    version_progress progress() const;

private:
    enum class step : std::uint8_t {
        idle,     ///< nothing to do, or the next update is about to start
        manifest, ///< waits for the manifest
        chunks,   ///< fetches chunks
        upload,   ///< uploads chunks to the engine
        permit,   ///< waits for permits
        drain,    ///< waits for running requests to end
        load      ///< the engine loads
    };

    void start_update(const std::string& version, std::uint64_t generation);
    void apply_rollout_settings(const configuration& config, const service& target);
    void fetch_manifest();
    void handle_manifest(const std::string& version, const result<std::string>& text);
    void upload_next_chunk(std::size_t index);
    void acquire_permits();
    bool has_other_ready_member() const;
    void start_drain();
    void drain();
    void start_load();
    void verify_engine_state(const std::string& version);
    void send_load_request(const std::string& version);
    std::string load_refusal_reason(const std::string& version) const;
    void handle_load_result(const std::string& version, const result<bool>& outcome);
    void cancel_update();
    bool is_current_step(const std::string& version, step expected) const;
    template<typename Function>
    auto on_control(Function function);

    agent_context& context_;
    std::shared_ptr<chunk_swarm> swarm_;
    std::shared_ptr<permit_holder> zone_permit_;
    std::shared_ptr<permit_holder> service_permit_;
    step step_{step::idle};
    std::string target_version_;
    std::uint32_t zone_slots_{1};
    std::string manifest_text_;
    manifest manifest_;
    std::string active_version_;
    std::uint64_t active_since_ms_{0};
    std::string boot_id_;
    bool is_reachable_{false};
    /// When this agent last saw a change of the engine that it had not requested. A load request
    /// needs evidence that is later, since another agent may know a newer generation.
    time_point last_external_change_;
    time_point step_started_at_;
    time_point next_attempt_at_;
};

} // namespace citronseam

#endif
