/// @file
/// Reads the state of the engine beside this process again and again.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_ENGINE_MONITOR_H
#define CITRONSEAM_PROGRAMS_SIDECAR_ENGINE_MONITOR_H

#include <functional>
#include <optional>

#include "platform/engine.h"
#include "programs/sidecar/sidecar_context.h"

namespace citronseam {

/// The engine's state as last read. Everything runs on the control thread.
class engine_watch {
public:
    explicit engine_watch(sidecar_context& context) : context_(context) {}

    /// Begins to read.
    /// @param on_state called after each read
    void start(std::function<void()> on_state);

    /// @return the state, nothing while the engine does not answer
    const std::optional<platform::engine_state>& state() const noexcept { return state_; }
    /// @return number of the engine's life as seen from here, from 1
    std::uint64_t life() const noexcept { return life_; }

private:
    void read();
    void take(const http_answer& answer);
    void note_lost(const std::string& reason);

    sidecar_context& context_;
    std::function<void()> on_state_;
    std::optional<platform::engine_state> state_;
    std::uint64_t life_{0};
    std::uint64_t started_at_ms_{0};
    std::uint64_t orders_accepted_{0};
    int failures_{0};
};

} // namespace citronseam

#endif
