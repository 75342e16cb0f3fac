/// @file
/// Loads complete weights into the sidecar's engine.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_LOADER_H
#define CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_LOADER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronseam/process/boot_clock.h"
#include "citronseam/version/staging_check.h"
#include "platform/engine.h"
#include "programs/sidecar/complete_weights.h"
#include "programs/sidecar/engine_monitor.h"
#include "programs/sidecar/sidecar_context.h"

namespace citronseam {

/// Stage of a load.
enum class load_step : std::uint8_t {
    idle,      ///< nothing to load
    stage,     ///< writes chunks to the engine's staging area
    verify,    ///< reads the staged chunks back
    scheduled, ///< waits for the scheduled time
    load       ///< the engine was ordered to load the weights
};
/// @return the name of a step, for logs
std::string_view name(load_step step) noexcept;

/// Queries of the loader to other components.
struct loader_callbacks {
    /// @return the sidecars of the service
    std::function<std::vector<std::string>()> instances;
    /// @return the newest version that was announced
    std::function<std::uint64_t()> newest_version;
    /// @return estimated time until the newest version is complete
    std::function<milliseconds()> newest_remaining_time;
};

/// Loads the newest complete weights. Everything runs on the control thread.
class weights_loader : public std::enable_shared_from_this<weights_loader> {
public:
    weights_loader(sidecar_context& context, engine_monitor& engine, loader_callbacks callbacks);

    /// Sets the weights to load. They replace earlier ones as soon as no request for those is
    /// outstanding and no order for them is under way.
    void set_complete_weights(std::shared_ptr<const complete_weights> weights);
    /// Corrects when a version was announced, which its load is scheduled by.
    void set_announced_at(const target_weights& target);
    /// Advances the load. To be called periodically and after each poll of the engine.
    void reconcile();

    /// @return whether the engine accepts no requests because of a load
    bool is_loading() const noexcept { return step_ == load_step::load; }
    /// @return the scheduled time of the load; nullopt if none is scheduled
    std::optional<time_point> scheduled_at() const;

private:
    /// @return a handler that ignores responses to requests of an earlier step
    template<typename Function>
    auto make_step_handler(Function function);

    bool take_next_weights();
    void set_step(load_step step);
    void stage_next(std::size_t chunk);
    void handle_stage_reply(std::size_t chunk, const http_response& response);
    void start_check();
    void verify_next(std::size_t chunk);
    void report_late_check();
    void handle_read_back(std::size_t chunk, const http_response& response);
    void settle_open_order();
    void settle_order();
    bool is_earlier_order_open(platform::load_order_outcome refusal) const;
    void order_load_when_due();
    bool should_wait_for_newer(time_point now) const;
    time_point scheduled_load_at() const;
    void send_load_order();
    void handle_order_reply(const http_response& response);
    void watch_load();
    bool is_active() const;
    http_request make_stage_request(std::size_t chunk) const;

    sidecar_context& context_;
    engine_monitor& engine_;
    loader_callbacks callbacks_;
    std::shared_ptr<const complete_weights> weights_;
    std::shared_ptr<const complete_weights> next_weights_; ///< replace weights_; nullptr: none
    load_step step_{load_step::idle};
    std::uint64_t epoch_{0};              ///< incremented by each change of the step
    std::uint64_t incarnation_{0};        ///< of the engine when the step started
    bool is_busy_{false};                 ///< a request of this step is outstanding
    std::size_t outstanding_requests_{0}; ///< of all steps
    staging_check check_;
    /// The last check reads with the last client, on a connection of its own: no answer there is
    /// older than the check. Earlier ones live until no request is outstanding.
    std::vector<std::unique_ptr<http_client>> check_clients_;
    time_point check_started_at_; ///< for logs
    /// The engine may execute the last order, but has not answered. Until that is settled, only the
    /// same chunks are staged, and only the same order is sent.
    bool is_order_open_{false};
    std::optional<time_point> unanswered_since_; ///< first of the open orders without an answer
    std::uint64_t ordered_count_{0};             ///< count of orders that the last order expects
    time_point ordered_at_;
    boot_clock::time_point order_answered_at_; ///< also if it failed
    time_point retry_at_;
};

} // namespace citronseam

#endif
