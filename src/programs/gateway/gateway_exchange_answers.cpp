// The answers of a gateway_exchange: what comes from backend servers and what callers get.
#include "citronseam/process/log.h"
#include "citronseam/request/retry_budget.h"
#include "programs/gateway/gateway_exchange.h"
#include "programs/gateway/http_status.h"

namespace citronseam {
namespace {

constexpr std::size_t largest_answer = 8 * mebibyte;

constexpr milliseconds no_server_wait{500}; ///< servers that load weights are back within this
constexpr milliseconds failing_wait{200};   ///< length of a usual bar after failures

bool is_success(int status) {
    constexpr int first = 200;
    constexpr int end = 300;
    return status >= first && status < end;
}

} // namespace

http_observer gateway_exchange::make_observer(std::uint64_t generation) {
    http_observer observer;
    const auto self = shared_from_this();
    observer.on_head = [self, generation](int status, const std::vector<http_header>& headers) {
        if (generation == self->generation_ && !self->is_done_) {
            self->handle_head(status, headers);
        }
    };
    observer.on_data = [self, generation](std::string_view data) {
        return generation == self->generation_ && !self->is_done_ && self->handle_data(data);
    };
    observer.on_done = [self, generation](const http_outcome& outcome) {
        if (generation == self->generation_ && !self->is_done_) {
            self->handle_done(outcome);
        }
    };
    return observer;
}

void gateway_exchange::handle_head(int status, const std::vector<http_header>& headers) {
    attempt_.has_head = true;
    attempt_.status = status;
    attempt_.headers = headers;
    attempt_.terms = platform::read_answer_terms(status, headers);
    // A late answer to an earlier request may come where this one's is due.
    const std::string& answered = attempt_.terms.attempt;
    attempt_.is_unusable = !answered.empty() && answered != terms_.attempt;
    attempt_.is_stream = rule_->kind == repetition::streaming && status == status_ok &&
                         attempt_.terms.has_seal && !attempt_.terms.is_encoded;
}

bool gateway_exchange::handle_data(std::string_view data) {
    attempt_.heard_at = std::chrono::steady_clock::now();
    if (attempt_.is_unusable) {
        return false;
    }
    note_answer_began();
    if (attempt_.is_stream) {
        attempt_.is_unusable = !feed(attempt_.events, data) || !pass_on_events();
        return !attempt_.is_unusable;
    }
    attempt_.body += data;
    return attempt_.body.size() <= largest_answer;
}

bool gateway_exchange::pass_on_events() {
    while (const auto event = next_event(attempt_.events)) {
        if (!pass_on(*event)) {
            return false;
        }
    }
    return true;
}

bool gateway_exchange::pass_on(const stream_event& event) {
    const event_standing standing = standing_of(last_event_, event.id);
    if (standing == event_standing::repeated) {
        return true;
    }
    if (standing == event_standing::gap) {
        log_event(log_level::warning, "stream_gap",
                  {{"request", terms_.attempt},
                   {"server", attempt_.server->entry.id},
                   {"last", last_event_.value_or(0)},
                   {"event", event.id.value_or(0)}});
        return false;
    }
    if (!responder_->has_begun()) {
        begin_stream();
    }
    responder_->write(event.bytes);
    last_event_ = event.id ? event.id : last_event_;
    ++events_passed_;
    return true;
}

void gateway_exchange::begin_stream() {
    first_part_at_ = std::chrono::steady_clock::now();
    stream_weights_ = attempt_.terms.weights;
    responder_->begin(attempt_.status, platform::headers_for_caller(attempt_.headers));
}

void gateway_exchange::note_answer_began() {
    if (attempt_.server != nullptr && attempt_.unread_ms > 0) {
        note_prompt_read(*attempt_.server, attempt_.unread_ms);
        attempt_.unread_ms = 0;
    }
}

void gateway_exchange::handle_done(const http_outcome& outcome) {
    if (attempt_.is_unusable || !outcome.is_complete) {
        handle_broken(outcome);
    } else {
        handle_answer(outcome);
    }
}

void gateway_exchange::handle_answer(const http_outcome& outcome) {
    if (attempt_.terms.is_not_run) {
        // A stream that goes on also names the weights, which may be what does not fit.
        const bool is_other = outcome.status == status_misdirected && events_passed_ == 0;
        end_attempt(is_other ? exchange_standing::other : exchange_standing::refused);
        handle_not_run(is_other ? "server_replaced" : "server_refused");
        return;
    }
    const bool is_cut = attempt_.is_stream && !attempt_.events.pending.empty();
    const bool is_resumption_refused = events_passed_ > 0 && !attempt_.is_stream;
    const bool is_other_body = is_success(outcome.status) && attempt_.terms.is_encoded;
    if (!attempt_.terms.has_seal || is_cut || is_resumption_refused || is_other_body) {
        handle_broken(outcome);
        return;
    }
    const bool is_failure = outcome.status >= first_server_error;
    end_attempt(is_failure ? exchange_standing::broken : exchange_standing::sound);
    verdict_ = run_verdict::ran;
    if (is_failure && is_repeatable(*rule_) && may_send_again(std::chrono::steady_clock::now())) {
        send_next();
        return;
    }
    deliver();
}

void gateway_exchange::handle_broken(const http_outcome& outcome) {
    const auto now = std::chrono::steady_clock::now();
    const bool is_out_of_time = outcome.is_timeout && time_left(now) < least_time_to_send;
    const bool is_sent = outcome.verdict != run_verdict::not_run;
    log_event(log_level::info, "attempt_broken",
              {{"request", terms_.attempt},
               {"server", attempt_.server->entry.id},
               {"sent", is_sent ? 1 : 0},
               {"events", events_passed_},
               {"status", attempt_.status},
               {"reason", attempt_.is_unusable ? "unusable answer" : outcome.message}});
    end_attempt(is_out_of_time ? exchange_standing::ended : exchange_standing::broken);
    if (!is_sent) {
        --sendings_;
        handle_not_run("unreachable");
        return;
    }
    verdict_ = combine(verdict_, run_verdict::may_have_run);
    if (is_out_of_time) {
        end_late();
        return;
    }
    if (is_repeatable(*rule_)) {
        retry_or("broken", &gateway_exchange::give_up_broken);
    } else {
        give_up_broken("broken");
    }
}

void gateway_exchange::handle_not_run(std::string_view why) {
    retry_or(why, &gateway_exchange::give_up_not_run);
}

void gateway_exchange::give_up_not_run(std::string_view why) {
    if (verdict_ != run_verdict::not_run) {
        give_up_broken(why);
        return;
    }
    refuse({status_unavailable, why, "no backend server took the request",
            retry_after(failing_wait, context_.pool.random())});
}

void gateway_exchange::give_up_broken(std::string_view why) {
    if (responder_->has_begun()) {
        responder_->abort();
        finish(why, 0);
        return;
    }
    refuse({status_bad_gateway, why, "the backend server's answer was lost", {}});
}

void gateway_exchange::refuse_for(choice_obstacle obstacle) {
    // Callers that come back within their latency objective may still be served in time.
    constexpr int objective_parts = 3;
    milliseconds shortest = rule_->latency_objective / objective_parts;
    if (obstacle == choice_obstacle::no_server) {
        shortest = no_server_wait;
    } else if (obstacle == choice_obstacle::failing) {
        shortest = failing_wait;
    }
    refuse({status_unavailable, name(obstacle), "no backend server has room",
            context_.pool.return_after_refusal(service_, shortest)});
}

void gateway_exchange::refuse(const refusal_terms& terms) {
    const platform::own_answer answer =
        platform::write_refusal(terms.status, terms.message, terms.retry_after);
    responder_->respond(answer.status, answer.headers, answer.body);
    finish(terms.reason, terms.status);
}

void gateway_exchange::deliver() {
    const auto headers = platform::headers_for_caller(attempt_.headers);
    if (!attempt_.is_stream) {
        responder_->respond(attempt_.status, headers, attempt_.body);
    } else {
        if (!responder_->has_begun()) {
            begin_stream();
        }
        responder_->finish();
    }
    finish("answered", attempt_.status);
}

void gateway_exchange::finish(std::string_view outcome, int status) {
    is_done_ = true;
    const auto now = std::chrono::steady_clock::now();
    const std::string route_name = rule_ == nullptr ? "none" : rule_->name;
    const std::string workspace = workspace_ == nullptr ? "none" : workspace_->name;
    context_.numbers.count(
        "citronseam_requests_total",
        {{"service", service_}, {"workspace", workspace}, {"outcome", std::string(outcome)}});
    const double total_s = elapsed_ms(received_at_, now) / 1000.0;
    context_.numbers.observe("citronseam_request_seconds", {{"workspace", workspace}}, total_s);
    if (events_passed_ > 0) {
        context_.numbers.observe("citronseam_first_event_seconds", {{"workspace", workspace}},
                                 elapsed_ms(received_at_, first_part_at_) / 1000.0);
    }
    const bool is_answered = outcome == "answered";
    log_event(is_answered ? log_level::info : log_level::warning, "request_done",
              {{"request", terms_.attempt},
               {"outcome", outcome},
               {"status", status},
               {"verdict", name(verdict_)},
               {"route", route_name},
               {"workspace", workspace},
               {"server", tried_.empty() ? "none" : tried_.back()},
               {"busy", chosen_busy_},
               {"expected_wait_ms", expected_wait_ms_},
               {"report_age_ms", report_age_ms_},
               {"sendings", sendings_},
               {"prompt_tokens", terms_.prompt_tokens},
               {"output_tokens", terms_.output_tokens},
               {"expected_tokens", terms_.expected_output_tokens},
               {"events", events_passed_},
               {"first_ms", events_passed_ > 0 ? elapsed_ms(received_at_, first_part_at_) : 0},
               {"total_ms", elapsed_ms(received_at_, now)},
               {"configuration",
                view_ == nullptr || view_->routes == nullptr ? 0 : view_->routes->rules->version}});
}

} // namespace citronseam
