#include "programs/sidecar/engine_monitor.h"

#include <utility>

#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

/// The engine runs on the same machine, so polling costs little.
constexpr milliseconds poll_interval{50};
constexpr std::size_t max_state_bytes = 256 * kibibyte;
/// Consecutive failed polls after which the engine counts as unreachable.
constexpr int failures_until_unreachable = 2;

result<platform::engine_state> read_state(const http_response& response) {
    if (!response.outcome.is_complete || response.outcome.status != 200) {
        return failure(error_code::unavailable,
                       response.outcome.is_complete
                           ? "status " + std::to_string(response.outcome.status)
                           : response.outcome.message);
    }
    return platform::parse_engine_state(response.body);
}

} // namespace

void engine_monitor::start(std::function<void()> on_state) {
    on_state_ = std::move(on_state);
    poll();
}

void engine_monitor::fetch(bool is_on_own_connection, handler handle) {
    http_request request =
        platform::make_engine_state_request(context_.options.backend_server.address);
    request.may_reuse_connection = !is_on_own_connection;
    fetch_on_control(context_, std::move(request), max_state_bytes,
                     [handle = std::move(handle)](const http_response& response) {
                         handle(read_state(response));
                     });
}

void engine_monitor::poll() {
    // An engine under load may refuse new connections. The kept one then shows whether it answers.
    if (is_confirmation_requested_ && !std::exchange(has_confirmation_failed_, false)) {
        confirm(std::nullopt);
        return;
    }
    fetch(false, [this](const result<platform::engine_state>& state) { handle_poll(state); });
}

void engine_monitor::handle_poll(const result<platform::engine_state>& state) {
    if (!state) {
        record_failure(state.error().message);
        finish_poll();
        return;
    }
    consecutive_failures_ = 0;
    if (!confirmed_state_ || !platform::differs_in_load_only(*confirmed_state_, *state)) {
        confirm(*state);
        return;
    }
    state_ = *state;
    finish_poll();
}

/// @param unconfirmed what the kept connection answered; nullopt: it was not asked
void engine_monitor::confirm(std::optional<platform::engine_state> unconfirmed) {
    fetch(true, [this, unconfirmed = std::move(unconfirmed),
                 requested_at = boot_clock::now()](const result<platform::engine_state>& state) {
        has_confirmation_failed_ = !state;
        if (state) {
            handle_confirmation(*state, requested_at);
        } else if (unconfirmed) {
            state_ = unconfirmed;
        } else {
            record_failure(state.error().message);
        }
        finish_poll();
    });
}

void engine_monitor::handle_confirmation(const platform::engine_state& state,
                                         boot_clock::time_point requested_at) {
    consecutive_failures_ = 0;
    is_confirmation_requested_ = false;
    // A restart changes the start time, if the engine reports one, and resets the count of orders.
    const bool is_restarted = incarnation_ == 0 || state.started_at_ms != started_at_ms_ ||
                              state.accepted_order_count < accepted_order_count_;
    if (is_restarted) {
        ++incarnation_;
        started_at_ms_ = state.started_at_ms;
    }
    if (is_restarted || !confirmed_state_) {
        log_event(log_level::info, "engine_seen",
                  {{"life", incarnation_},
                   {"model", state.model},
                   {"weights", state.weights_version},
                   {"orders", state.accepted_order_count}});
    }
    accepted_order_count_ = state.accepted_order_count;
    state_ = state;
    confirmed_state_ = state;
    confirmed_at_ = requested_at;
}

void engine_monitor::finish_poll() {
    on_state_();
    context_.control.post_after(poll_interval, [this] { poll(); });
}

void engine_monitor::record_failure(const std::string& reason) {
    ++consecutive_failures_;
    if (consecutive_failures_ < failures_until_unreachable || !state_) {
        return;
    }
    state_.reset();
    confirmed_state_.reset();
    log_event(log_level::warning, "engine_lost", {{"reason", reason}});
}

} // namespace citronseam
