/// @file
/// Brings the weights that the operator named into the engine beside this process.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_KEEPER_H
#define CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_KEEPER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronseam/version/manifest.h"
#include "programs/sidecar/engine_watch.h"
#include "programs/sidecar/sidecar_context.h"
#include "programs/swarm/chunk_swarm.h"

namespace citronseam {

/// Weights that an engine is to hold.
struct wanted_weights {
    std::string model;
    std::uint64_t version{0};
    time_point named_at;
    bool operator==(const wanted_weights&) const = default;
};

/// How far the keeper is with the wanted weights.
enum class keeper_step : std::uint8_t {
    list,   ///< the list of pieces is not known
    fetch,  ///< pieces come from other sidecars and the origin
    stage,  ///< pieces are laid down at the engine
    verify, ///< pieces are read back
    turn,   ///< waits for its turn to load
    load,   ///< the engine was ordered to put them in force
    done    ///< they are in force
};
/// @return the name of a step, for logs
std::string_view name(keeper_step step) noexcept;

/// Works towards the wanted weights. Everything runs on the control thread.
class weights_keeper : public std::enable_shared_from_this<weights_keeper> {
public:
    weights_keeper(sidecar_context& context, engine_watch& engine,
                   std::shared_ptr<chunk_swarm> swarm);

    /// Takes the weights that the operator named.
    void set_wanted(const wanted_weights& wanted);
    /// Takes the origin's address; empty: not known.
    void set_origin(const std::string& address);
    /// Takes the time that the engine needs for a load.
    void set_load_duration(milliseconds duration) { load_duration_ = duration; }
    /// Takes the next step. Call it again and again.
    void reconcile();

    /// @return whether the engine takes no requests because of a load
    bool is_loading() const noexcept { return step_ == keeper_step::load; }
    /// @return the step, for operators
    keeper_step step() const noexcept { return step_; }
    /// @return the wanted weights
    const wanted_weights& wanted() const noexcept { return wanted_; }
    /// @return the request that draws a piece from the origin
    http_request make_draw(std::size_t piece) const;

private:
    /// Wraps a function so that it does nothing once the wanted weights or the step changed.
    template<typename Function>
    auto guarded(Function function);

    void begin(const wanted_weights& wanted);
    bool must_finish_first() const;
    void enter(keeper_step step);
    void restart(keeper_step step);
    void note_progress(time_point now);
    void read_list();
    void take_list(const http_answer& answer);
    void adopt_staged(std::size_t piece);
    void begin_fetch();
    void stage_next(std::size_t piece);
    void verify_next(std::size_t piece);
    void handle_verified(std::size_t piece, const http_answer& answer);
    void wait_for_turn();
    void order();
    void take_order_answer(const http_answer& answer);
    void watch_load();
    bool is_in_force() const;

    sidecar_context& context_;
    engine_watch& engine_;
    std::shared_ptr<chunk_swarm> swarm_;
    std::string origin_;
    milliseconds load_duration_{0};
    wanted_weights wanted_;
    std::optional<wanted_weights> next_; ///< follows once wanted_ is on its way into force
    manifest list_;
    keeper_step step_{keeper_step::done};
    std::uint64_t epoch_{0}; ///< counts changes of the wanted weights and of the step
    std::uint64_t life_{0};  ///< of the engine when the step began
    bool is_busy_{false};    ///< an answer is awaited
    bool is_staged_adopted_{false};
    time_point whole_at_;
    time_point verified_at_;
    time_point ordered_at_;
    time_point next_try_;
    time_point progress_noted_at_;
};

} // namespace citronseam

#endif
