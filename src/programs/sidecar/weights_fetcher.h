/// @file
/// Brings the pieces of the weights that the operator named to this process.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_FETCHER_H
#define CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_FETCHER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "programs/sidecar/complete_weights.h"
#include "programs/sidecar/engine_monitor.h"
#include "programs/sidecar/sidecar_context.h"
#include "programs/swarm/chunk_swarm.h"

namespace citronseam {

/// How far a fetch is.
enum class fetch_step : std::uint8_t {
    list,  ///< the list of pieces is not known
    adopt, ///< pieces that lie at the engine already are read
    fetch, ///< pieces come from other sidecars and the origin
    done   ///< all pieces are here
};
/// @return the name of a step, for logs
std::string_view name(fetch_step step) noexcept;

/// Fetches one version after the other. Everything runs on the control thread.
class weights_fetcher : public std::enable_shared_from_this<weights_fetcher> {
public:
    /// Takes weights that are whole.
    using whole_handler = std::function<void(std::shared_ptr<const whole_weights>)>;

    weights_fetcher(sidecar_context& context, engine_watch& engine,
                    std::shared_ptr<chunk_swarm> swarm, whole_handler on_whole);

    /// Takes the weights that the operator named.
    void set_wanted(const wanted_weights& wanted);
    /// Takes a list of pieces that another sidecar sent.
    void take_list_of_member(const std::string& version, const manifest& list);
    /// Takes the origin's address; empty: not known.
    void set_origin(const std::string& address) { origin_ = address; }
    /// Takes the next step. Call it again and again.
    void reconcile();

    /// @return the newest weights that were named
    const wanted_weights& newest() const noexcept { return next_ ? *next_ : wanted_; }
    /// @return time until the newest weights are whole, by their progress so far
    milliseconds newest_remaining() const;
    /// @return the request that draws a piece from the origin
    http_request make_draw(std::size_t piece) const;

private:
    template<typename Function>
    auto guarded(Function function);

    void begin(const wanted_weights& wanted);
    bool must_finish_first() const;
    void set_list(manifest list);
    void enter(fetch_step step);
    void read_list();
    void take_list(const http_answer& answer);
    void begin_adopting();
    void adopt_next(std::size_t piece);
    void begin_fetch();
    void finish();
    milliseconds remaining(time_point now) const;
    void note_progress(time_point now);

    sidecar_context& context_;
    engine_watch& engine_;
    std::shared_ptr<chunk_swarm> swarm_;
    whole_handler on_whole_;
    std::string origin_;
    wanted_weights wanted_;
    std::optional<wanted_weights> next_; ///< follows once wanted_ is whole
    manifest list_;
    fetch_step step_{fetch_step::done};
    std::uint64_t epoch_{0}; ///< counts changes of the step; answers to earlier steps are dropped
    bool is_busy_{false};    ///< an answer is awaited
    time_point next_try_;
    time_point fetch_began_at_;
    time_point progress_noted_at_;
};

} // namespace citronseam

#endif
