/// @file
/// Brings the engine beside an agent to the model version that the configuration asks for.
#ifndef CITRONSEAM_PROGRAMS_AGENT_VERSION_KEEPER_H
#define CITRONSEAM_PROGRAMS_AGENT_VERSION_KEEPER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "citronseam/version/chunk_store.h"
#include "citronseam/version/manifest.h"
#include "programs/agent/agent_context.h"
#include "programs/agent/engine_orders.h"

namespace citronseam {

/// What an agent tells of its version work.
struct version_progress {
    std::string in_force;          ///< version that the engine serves
    std::string wanted;            ///< version that the configuration asks for
    std::uint32_t held{0};         ///< chunks of the wanted version
    std::uint32_t total{0};        ///< all its chunks, 0 while the manifest is unknown
    std::uint64_t origin_bytes{0}; ///< drawn from the origin since the process started
};

/// Reconciles the engine. Everything runs on the control thread.
///
/// Steps: manifest, chunks, hand-over to the engine, drain, order to load. Each step is repeated by
/// the next call of reconcile() when it failed, and dropped when a newer generation asks for
/// another version.
class version_keeper : public std::enable_shared_from_this<version_keeper> {
public:
    /// @param context parts of the agent
    explicit version_keeper(agent_context& context);

    /// Compares what is with what is wanted, and takes the next step. Call it again and again.
    void reconcile();
    /// Takes the engine's status. @param status an error when the engine did not answer
    void take_status(const result<engine_status>& status);
    /// @return the present progress
    version_progress progress() const;

private:
    enum class step : std::uint8_t { idle, manifest, chunks, hand_over, drain, load };

    void begin(const std::string& version, std::uint64_t generation);
    void fetch_manifest();
    void fetch_chunks();
    void fetch_from_origin(std::size_t index);
    void handle_chunk(const std::string& version, std::size_t index, const http_answer& answer);
    void hand_over();
    void hand_over_next(std::size_t index);
    void drain();
    void load();
    void handle_loaded(const std::string& version, const result<bool>& outcome);
    bool is_current(const std::string& version) const;
    template<typename Function>
    auto on_control(Function function);

    agent_context& context_;
    step step_{step::idle};
    std::string wanted_;
    std::uint64_t generation_{0};
    std::string manifest_text_;
    manifest manifest_;
    chunk_store chunks_;
    std::set<std::size_t> requested_;
    std::uint64_t origin_bytes_{0};
    std::string in_force_;
    std::string boot_;
    bool is_reachable_{false};
    bool is_draining_{false};
    time_point step_began_;
};

} // namespace citronseam

#endif
