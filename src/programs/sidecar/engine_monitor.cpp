#include "programs/sidecar/engine_monitor.h"

#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

/// The engine is on the same machine; a read costs it nothing.
constexpr milliseconds read_interval{50};
constexpr std::size_t largest_state = 256 * kibibyte;
/// Reads that fail in a row until the engine counts as unreachable.
constexpr int failures_until_lost = 2;

} // namespace

void engine_watch::start(std::function<void()> on_state) {
    on_state_ = std::move(on_state);
    read();
}

void engine_watch::read() {
    fetch_on_control(context_, platform::read_engine_state(context_.options.backend_server.address),
                     largest_state, [this](const http_answer& answer) {
                         take(answer);
                         on_state_();
                         context_.control.post_after(read_interval, [this] { read(); });
                     });
}

void engine_watch::take(const http_answer& answer) {
    if (!answer.outcome.is_complete || answer.outcome.status != 200) {
        note_lost(answer.outcome.is_complete ? "status " + std::to_string(answer.outcome.status)
                                             : answer.outcome.message);
        return;
    }
    auto state = platform::parse_engine_state(answer.body);
    if (!state) {
        note_lost(state.error().message);
        return;
    }
    failures_ = 0;
    // A restart forgets the orders; where the start's time is told it decides.
    const bool is_new_life = life_ == 0 || state->started_at_ms != started_at_ms_ ||
                             state->orders_accepted < orders_accepted_;
    if (is_new_life) {
        ++life_;
        started_at_ms_ = state->started_at_ms;
    }
    if (is_new_life || !state_) {
        log_event(log_level::info, "engine_seen",
                  {{"life", life_},
                   {"model", state->model},
                   {"weights", state->weights_version},
                   {"orders", state->orders_accepted}});
    }
    orders_accepted_ = state->orders_accepted;
    state_ = std::move(*state);
}

void engine_watch::note_lost(const std::string& reason) {
    ++failures_;
    if (failures_ < failures_until_lost || !state_) {
        return;
    }
    state_.reset();
    log_event(log_level::warning, "engine_lost", {{"reason", reason}});
}

} // namespace citronseam
