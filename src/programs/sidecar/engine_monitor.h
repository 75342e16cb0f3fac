/// @file
/// Polls the state of the sidecar's model engine.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_ENGINE_MONITOR_H
#define CITRONSEAM_PROGRAMS_SIDECAR_ENGINE_MONITOR_H

#include <functional>
#include <optional>

#include "citronseam/process/boot_clock.h"
#include "platform/engine.h"
#include "programs/sidecar/sidecar_context.h"

namespace citronseam {

/// Polls the engine and keeps its last state. Everything runs on the control thread.
class engine_monitor {
public:
    explicit engine_monitor(sidecar_context& context) : context_(context) {}

    /// Starts to poll.
    /// @param on_state called after each poll
    void start(std::function<void()> on_state);

    /// @return the last state; nullopt while the engine is unreachable
    const std::optional<platform::engine_state>& state() const noexcept { return state_; }
    /// @return 1 for the first engine process seen, incremented by each restart; 0: none seen yet
    std::uint64_t incarnation() const noexcept { return incarnation_; }
    /// @return when the last state was requested; the engine reported it after that
    boot_clock::time_point polled_at() const noexcept { return polled_at_; }

private:
    void poll();
    void handle_state(const http_response& response, boot_clock::time_point polled_at);
    void record_failure(const std::string& reason);

    sidecar_context& context_;
    std::function<void()> on_state_;
    std::optional<platform::engine_state> state_;
    boot_clock::time_point polled_at_;
    std::uint64_t incarnation_{0};
    std::uint64_t started_at_ms_{0};
    std::uint64_t accepted_order_count_{0};
    int consecutive_failures_{0};
};

} // namespace citronseam

#endif
