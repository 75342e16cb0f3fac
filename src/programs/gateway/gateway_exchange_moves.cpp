// Moves of gateway_exchange: from a backend server that may still answer to another one.
#include <utility>

#include "citronseam/process/log.h"
#include "programs/gateway/gateway_exchange.h"

namespace citronseam {
namespace {

/// Pause between two attempts to find another server.
constexpr milliseconds move_check_interval{100};
/// A stream may pause for this many of its event gap objectives while it moves: one late stream
/// costs less than an engine that takes no requests until its last stream has ended.
constexpr int move_pause_objectives = 3;
/// The same for a route that names no objective.
constexpr milliseconds default_move_pause{1000};

constexpr std::string_view stalled = "stalled";
constexpr std::string_view engine_loads = "engine_loads";
constexpr std::string_view weights_replaced = "weights_replaced";
constexpr std::string_view quarantined = "quarantined";

} // namespace

/// An engine loads new weights only once all its running requests have ended, and accepts none
/// meanwhile. A stream that would delay the load is moved to another engine with the same weights.
/// A request is moved as well when its server is silent for long.
std::string_view gateway_exchange::reason_to_move(time_point now) const {
    if (attempt_ == nullptr || attempt_->server == nullptr || !is_retryable(*rule_) ||
        attempt_count_ >= rule_->max_attempts || now < next_move_check_ ||
        time_left(now) < min_send_time || has_unnumbered_event_ || is_quarantined()) {
        return {};
    }
    const attempt& newest = is_moving() ? *replacement_ : *attempt_;
    if (now - newest.last_data_at > stall_timeout()) {
        return stalled;
    }
    if (is_moving() || rule_->kind != retry_class::streaming) {
        return {};
    }
    const milliseconds remaining =
        context_.pool.expected_remaining(*rule_, service_, caller_.expected_output_tokens,
                                         milliseconds(elapsed_ms(attempt_->started_at, now)));
    return delays_weight_load(*attempt_->server, remaining, now) ? engine_loads
                                                                 : std::string_view{};
}

/// Sends the request to another server, and keeps the attempt that is under way: the other server
/// may refuse, since what is known of its load may be a second old.
void gateway_exchange::start_move(std::string_view reason, time_point now) {
    next_move_check_ = now + move_check_interval;
    server_query query = make_query();
    query.is_optional = true;
    const server_selection selection = context_.pool.choose(query, now);
    if (selection.server == nullptr) {
        return;
    }
    if (!context_.pool.try_spend_retry(service_, now)) {
        record_prefill_end(*selection.server, selection.prompt_prefill_ms);
        record_ended(*selection.server, exchange_outcome::abandoned, now);
        return;
    }
    if (reason == stalled) {
        record_open_silence(is_moving() ? *replacement_ : *attempt_);
    }
    if (is_moving()) {
        // A third server takes the place of the first one if that is silent for longer than the
        // second one.
        const bool is_first_silent = attempt_->progress == attempt_progress::silent;
        end_move(is_first_silent ? move_decision::second : move_decision::first, stalled, now);
    }
    log_event(log_level::info, "move_started",
              {{"request", caller_.attempt},
               {"server", attempt_->server->entry.id},
               {"to", selection.server->entry.id},
               {"reason", reason},
               {"events", events_forwarded_},
               {"sent_ms_ago", elapsed_ms(attempt_->started_at, now)},
               {"silent_ms", elapsed_ms(attempt_->last_data_at, now)}});
    move_reason_ = reason;
    move_started_at_ = now;
    attempt_->progress = attempt_progress::silent;
    replacement_ = send_to(selection, reason == stalled);
}

/// Ends the move once one of the two servers has answered or failed.
void gateway_exchange::settle_move(time_point now) {
    if (!is_moving()) {
        return;
    }
    move_state state;
    state.first = attempt_->progress;
    state.second = replacement_->progress;
    state.is_stream = rule_->kind == retry_class::streaming;
    state.has_forwarded = events_forwarded_ > 0;
    state.last_forwarded_at = last_forwarded_at_;
    state.max_pause = rule_->event_gap_objective.count() > 0
                          ? rule_->event_gap_objective * move_pause_objectives
                          : default_move_pause;
    const move_decision decision = decide_move(state, now);
    if (decision != move_decision::undecided) {
        end_move(decision, "settled", now);
    }
}

void gateway_exchange::end_move(move_decision decision, std::string_view reason, time_point now) {
    const bool is_taken = decision == move_decision::second;
    const std::shared_ptr<attempt> loser = is_taken ? attempt_ : replacement_;
    const bool has_failed = loser->progress == attempt_progress::failed;
    log_event(log_level::info, "move_ended",
              {{"request", caller_.attempt},
               {"server", loser->server->entry.id},
               {"reason", has_failed ? "failed" : reason},
               {"goes_on", name(decision)},
               {"held_events", held_events_.size()},
               {"took_ms", elapsed_ms(move_started_at_, now)}});
    // What the other server has begun to send must come from the one that goes on.
    is_event_due_ = is_event_due_ || has_begun_event(*loser) || (is_taken && !held_events_.empty());
    if (is_taken) {
        attempt_ = replacement_;
        held_events_.clear();
        held_bytes_ = 0;
    }
    replacement_ = nullptr;
    next_move_check_ = now + move_check_interval;
    if (!has_failed) {
        const bool is_server_silent = is_taken && move_reason_ == stalled;
        cancel_attempt(*loser,
                       is_server_silent ? exchange_outcome::failed : exchange_outcome::abandoned);
        verdict_ = combine_verdicts(verdict_, run_verdict::may_have_run);
    }
    release_held_events();
}

void gateway_exchange::release_held_events() {
    const std::vector<stream_event> events = std::exchange(held_events_, {});
    held_bytes_ = 0;
    for (const stream_event& event : events) {
        if (!forward_event(*attempt_, event)) {
            attempt_->is_unusable = true;
            context_.traffic.cancel(attempt_->number);
            return;
        }
    }
}

bool gateway_exchange::is_out_of_weights(const attempt& waiting, time_point now) const {
    return waiting.server != nullptr && !waiting.has_data &&
           !context_.pool.may_start_at(*waiting.server, service_, now);
}

void gateway_exchange::log_cancelled(std::string_view reason, time_point now) const {
    log_event(log_level::info, "attempt_cancelled",
              {{"request", caller_.attempt},
               {"server", attempt_->server->entry.id},
               {"reason", reason},
               {"events", events_forwarded_},
               {"sent_ms_ago", elapsed_ms(attempt_->started_at, now)},
               {"silent_ms", elapsed_ms(attempt_->last_data_at, now)}});
}

/// Cancels an attempt that waits at a server whose weights are replaced, so that it does not begin
/// on them. The request goes on at its other server, is sent to another one, or fails.
void gateway_exchange::leave_replaced_weights(time_point now) {
    if (is_moving() && is_out_of_weights(*replacement_, now)) {
        end_move(move_decision::first, weights_replaced, now);
    }
    if (attempt_ == nullptr || !is_out_of_weights(*attempt_, now)) {
        return;
    }
    if (is_moving()) {
        end_move(move_decision::second, weights_replaced, now);
        return;
    }
    log_cancelled(weights_replaced, now);
    cancel_attempt(*attempt_, exchange_outcome::abandoned);
    // The cancelled attempt may run all the same.
    verdict_ = combine_verdicts(verdict_, run_verdict::may_have_run);
    // A resumed stream needs the weights that are replaced, so no server can take it.
    if (is_retryable(*rule_) && events_forwarded_ == 0 && may_retry(now)) {
        send_next();
    } else {
        fail_broken(weights_replaced);
    }
}

/// Cancels a stream that waits at an engine and has become known to crash engines as it begins.
void gateway_exchange::leave_quarantine(time_point now) {
    const bool is_waiting = attempt_ != nullptr && attempt_->server != nullptr &&
                            !attempt_->has_data && (!is_moving() || !replacement_->has_data);
    if (is_done_ || !is_waiting || rule_->kind != retry_class::streaming || !is_quarantined()) {
        return;
    }
    log_cancelled(quarantined, now);
    verdict_ = combine_verdicts(verdict_, run_verdict::may_have_run);
    fail_broken(quarantined);
}

} // namespace citronseam
