/// @file
/// Brings the engine beside an agent to the model version that the configuration asks for.
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

/// What an agent tells of its version work.
struct version_progress {
    std::string in_force;               ///< version that the engine serves
    std::uint64_t in_force_since_ms{0}; ///< Unix time in milliseconds
    std::string wanted;                 ///< version that the configuration asks for
    std::uint32_t held{0};              ///< chunks of the wanted version
    std::uint32_t total{0};             ///< all its chunks, 0 while the manifest is unknown
    std::uint64_t origin_bytes{0};      ///< drawn from the origin since the process started
};

/// Reconciles the engine. Everything runs on the control thread.
///
/// Steps: manifest, chunks, hand-over to the engine, permits, drain, order to load. A step that
/// failed is repeated by a later call of reconcile(), and dropped when a newer generation asks for
/// another version. An engine without any version needs no permit: it has no work to lose.
class version_keeper : public std::enable_shared_from_this<version_keeper> {
public:
    /// @param context parts of the agent
    /// @param swarm   fetches chunks
    version_keeper(agent_context& context, std::shared_ptr<chunk_swarm> swarm);

    /// Compares what is with what is wanted, and takes the next step. Call it again and again.
    void reconcile();
    /// Takes the engine's status. @param status an error when the engine did not answer
    void take_status(const result<engine_status>& status);
    /// @return the present progress
    version_progress progress() const;

private:
    enum class step : std::uint8_t {
        idle,      ///< nothing to do, or about to begin
        manifest,  ///< waits for the manifest
        chunks,    ///< fetches chunks
        hand_over, ///< gives chunks to the engine
        permit,    ///< waits for permits
        drain,     ///< waits for running requests to end
        load       ///< the engine loads
    };

    void begin(const std::string& version, std::uint64_t generation);
    void take_rollout(const configuration& config, const service& wanted);
    void fetch_manifest();
    void take_manifest(const std::string& version, const result<std::string>& text);
    void hand_over_next(std::size_t index);
    void ask_permits();
    bool is_other_ready() const;
    void begin_drain();
    void drain();
    void load();
    void check_engine(const std::string& version);
    void order(const std::string& version);
    std::string reason_not_to_order(const std::string& version) const;
    void handle_loaded(const std::string& version, const result<bool>& outcome);
    void abandon();
    bool is_current(const std::string& version, step expected) const;
    template<typename Function>
    auto on_control(Function function);

    agent_context& context_;
    std::shared_ptr<chunk_swarm> swarm_;
    std::shared_ptr<permit_holder> zone_permit_;
    std::shared_ptr<permit_holder> service_permit_;
    step step_{step::idle};
    std::string wanted_;
    std::uint32_t zone_slots_{1};
    std::string manifest_text_;
    manifest manifest_;
    std::string in_force_;
    std::uint64_t in_force_since_ms_{0};
    std::string boot_;
    bool is_reachable_{false};
    /// When the engine was last seen changed by something else than an order of this agent. An
    /// order needs evidence that is later, since another agent may know a newer generation.
    time_point changed_by_other_;
    time_point step_began_;
    time_point next_try_;
};

} // namespace citronseam

#endif
