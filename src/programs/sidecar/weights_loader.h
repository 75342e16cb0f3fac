/// @file
/// Puts whole weights in force at the engine beside this process.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_LOADER_H
#define CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_LOADER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "programs/sidecar/complete_weights.h"
#include "programs/sidecar/engine_monitor.h"
#include "programs/sidecar/sidecar_context.h"

namespace citronseam {

/// How far a load is.
enum class load_step : std::uint8_t {
    idle,   ///< nothing to load
    stage,  ///< pieces are laid down at the engine
    verify, ///< pieces are read back
    turn,   ///< waits for its turn
    load    ///< the engine was ordered to put them in force
};
/// @return the name of a step, for logs
std::string_view name(load_step step) noexcept;

/// What the loader asks of the other parts.
struct loader_surroundings {
    /// @return the sidecars of the service
    std::function<std::vector<std::string>()> instances;
    /// @return the newest version that was named
    std::function<std::uint64_t()> newest_version;
    /// @return time until the newest version is whole
    std::function<milliseconds()> newest_remaining;
};

/// Loads the newest whole weights. Everything runs on the control thread.
class weights_loader : public std::enable_shared_from_this<weights_loader> {
public:
    weights_loader(sidecar_context& context, engine_watch& engine,
                   loader_surroundings surroundings);

    /// Takes weights that are whole; the newest ones are loaded.
    void set_whole(std::shared_ptr<const whole_weights> weights);
    /// Takes the next step. Call it again and again.
    void reconcile();

    /// @return whether the engine takes no requests because of a load
    bool is_loading() const noexcept { return step_ == load_step::load; }
    /// @return when a load is planned, nothing when none is
    std::optional<time_point> planned_at() const;

private:
    template<typename Function>
    auto guarded(Function function);

    void enter(load_step step);
    void stage_next(std::size_t piece);
    void take_staged(std::size_t piece, const http_answer& answer);
    void verify_next(std::size_t piece);
    void take_read_back(std::size_t piece, const http_answer& answer);
    void wait_for_turn();
    bool waits_for_newer(time_point now) const;
    time_point turn_at() const;
    void order();
    void take_order_answer(const http_answer& answer);
    void watch_load();
    bool is_in_force() const;
    http_request stage_request(std::size_t piece) const;

    sidecar_context& context_;
    engine_watch& engine_;
    loader_surroundings surroundings_;
    std::shared_ptr<const whole_weights> weights_;
    load_step step_{load_step::idle};
    std::uint64_t epoch_{0}; ///< counts changes of the step; answers to earlier steps are dropped
    std::uint64_t life_{0};  ///< of the engine when the step began
    bool is_busy_{false};    ///< an answer is awaited
    time_point verified_at_;
    time_point ordered_at_;
    time_point next_try_;
};

} // namespace citronseam

#endif
