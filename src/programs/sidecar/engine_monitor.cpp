#include "programs/sidecar/engine_monitor.h"

#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

/// The engine runs on the same machine, so polling costs little.
constexpr milliseconds poll_interval{50};
constexpr std::size_t max_state_bytes = 256 * kibibyte;
/// Consecutive failed polls after which the engine counts as unreachable.
constexpr int failures_until_unreachable = 2;

} // namespace

void engine_monitor::start(std::function<void()> on_state) {
    on_state_ = std::move(on_state);
    poll();
}

void engine_monitor::poll() {
    fetch_on_control(
        context_, platform::make_engine_state_request(context_.options.backend_server.address),
        max_state_bytes, [this, polled_at = boot_clock::now()](const http_response& response) {
            handle_state(response, polled_at);
            on_state_();
            context_.control.post_after(poll_interval, [this] { poll(); });
        });
}

void engine_monitor::handle_state(const http_response& response, boot_clock::time_point polled_at) {
    if (!response.outcome.is_complete || response.outcome.status != 200) {
        record_failure(response.outcome.is_complete
                           ? "status " + std::to_string(response.outcome.status)
                           : response.outcome.message);
        return;
    }
    auto state = platform::parse_engine_state(response.body);
    if (!state) {
        record_failure(state.error().message);
        return;
    }
    consecutive_failures_ = 0;
    // A restart changes the start time, if the engine reports one, and resets the count of orders.
    const bool is_restarted = incarnation_ == 0 || state->started_at_ms != started_at_ms_ ||
                              state->accepted_order_count < accepted_order_count_;
    if (is_restarted) {
        ++incarnation_;
        started_at_ms_ = state->started_at_ms;
    }
    if (is_restarted || !state_) {
        log_event(log_level::info, "engine_seen",
                  {{"life", incarnation_},
                   {"model", state->model},
                   {"weights", state->weights_version},
                   {"orders", state->accepted_order_count}});
    }
    accepted_order_count_ = state->accepted_order_count;
    state_ = std::move(*state);
    polled_at_ = polled_at;
}

void engine_monitor::record_failure(const std::string& reason) {
    ++consecutive_failures_;
    if (consecutive_failures_ < failures_until_unreachable || !state_) {
        return;
    }
    state_.reset();
    log_event(log_level::warning, "engine_lost", {{"reason", reason}});
}

} // namespace citronseam
