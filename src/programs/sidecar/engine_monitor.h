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
///
/// Polls use a kept connection, as each new one costs the engine. No answer names its request, so
/// there a late second answer to an earlier poll counts as the present state. A state that differs
/// in more than the load is therefore read again on a connection of its own: a confirmed state.
class engine_monitor {
public:
    explicit engine_monitor(sidecar_context& context) : context_(context) {}

    /// Starts to poll.
    /// @param on_state called after each poll
    void start(std::function<void()> on_state);

    /// @return the last state, perhaps that of an earlier moment; nullopt while the engine is
    /// unreachable
    const std::optional<platform::engine_state>& state() const noexcept { return state_; }
    /// @return the last confirmed state; nullopt while the engine is unreachable
    const std::optional<platform::engine_state>& confirmed_state() const noexcept {
        return confirmed_state_;
    }
    /// @return when the confirmed state was requested; the engine reported it after that
    boot_clock::time_point confirmed_at() const noexcept { return confirmed_at_; }
    /// Lets the next poll confirm the state.
    void request_confirmation() noexcept { is_confirmation_requested_ = true; }
    /// @return 1 for the first engine process seen, incremented by each restart; 0: none seen yet
    std::uint64_t incarnation() const noexcept { return incarnation_; }

private:
    using handler = std::function<void(const result<platform::engine_state>&)>;
    void poll();
    void fetch(bool is_on_own_connection, handler handle);
    void handle_poll(const result<platform::engine_state>& state);
    void confirm(std::optional<platform::engine_state> unconfirmed);
    void handle_confirmation(const platform::engine_state& state,
                             boot_clock::time_point requested_at);
    void finish_poll();
    void record_failure(const std::string& reason);

    sidecar_context& context_;
    std::function<void()> on_state_;
    std::optional<platform::engine_state> state_;
    std::optional<platform::engine_state> confirmed_state_;
    boot_clock::time_point confirmed_at_;
    bool is_confirmation_requested_{false};
    bool has_confirmation_failed_{false}; ///< in the last poll
    std::uint64_t incarnation_{0};
    std::uint64_t started_at_ms_{0};
    std::uint64_t accepted_order_count_{0};
    int consecutive_failures_{0};
};

} // namespace citronseam

#endif
