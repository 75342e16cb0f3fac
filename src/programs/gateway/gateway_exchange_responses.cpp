// Response handling of gateway_exchange: from backend servers and to callers.
#include <algorithm>

#include "citronseam/process/log.h"
#include "citronseam/request/retry_budget.h"
#include "programs/gateway/gateway_exchange.h"
#include "programs/gateway/http_status.h"

namespace citronseam {
namespace {

constexpr std::size_t max_response_bytes = 8 * mebibyte;

constexpr milliseconds no_server_retry_delay{500}; ///< servers finish loading weights within this
constexpr milliseconds failure_retry_delay{200};   ///< usual exclusion of a failing server

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
    attempt_.parameters = platform::parse_response_headers(status, headers);
    // The server may send a late response to an earlier request instead of this one's.
    const std::string& answered = attempt_.parameters.attempt;
    attempt_.is_unusable = !answered.empty() && answered != caller_.attempt;
    attempt_.is_stream = rule_->kind == retry_class::streaming && status == status_ok &&
                         attempt_.parameters.has_seal && !attempt_.parameters.has_content_coding;
    record_server_signals();
}

/// Records what the server says of itself, whether it ran the request or not.
void gateway_exchange::record_server_signals() {
    // Another server answers 421 at an address that is reused.
    if (attempt_.is_unusable || attempt_.status == status_misdirected) {
        return;
    }
    if (attempt_.parameters.is_leaving) {
        context_.pool.record_leaving(*attempt_.server);
    }
    if (attempt_.parameters.retry_after_s || attempt_.parameters.has_invalid_retry_after) {
        context_.pool.record_requested_backoff(*attempt_.server, attempt_.parameters.retry_after_s,
                                               std::chrono::steady_clock::now());
    }
    record_server_limit();
}

void gateway_exchange::record_server_limit() {
    const platform::response_parameters& answer = attempt_.parameters;
    if (answer.has_invalid_limit) {
        log_event(log_level::warning, "server_limit_invalid",
                  {{"request", caller_.attempt}, {"server", attempt_.server->entry.id}});
        return;
    }
    // Only an answer that is certainly the server's shows that it names no limit any more.
    if (answer.request_limit || answer.has_seal) {
        context_.pool.record_limit(*attempt_.server, answer.request_limit, attempt_.started_at,
                                   std::chrono::steady_clock::now());
    }
}

bool gateway_exchange::handle_data(std::string_view data) {
    attempt_.last_data_at = std::chrono::steady_clock::now();
    if (attempt_.is_unusable) {
        return false;
    }
    attempt_.has_data = true;
    record_response_start();
    if (attempt_.is_stream) {
        attempt_.is_unusable =
            !feed(attempt_.events, data) || !forward_events() ||
            !attempt_.buffered.resize(context_.response_buffers, attempt_.events.pending.size());
        return !attempt_.is_unusable;
    }
    const std::size_t size = attempt_.body.size() + data.size();
    attempt_.is_unusable =
        size > max_response_bytes || !attempt_.buffered.resize(context_.response_buffers, size);
    if (attempt_.is_unusable) {
        attempt_.body = {};
        return false;
    }
    attempt_.body += data;
    return true;
}

bool gateway_exchange::forward_events() {
    while (const auto event = next_event(attempt_.events)) {
        if (!forward_event(*event)) {
            return false;
        }
    }
    return true;
}

bool gateway_exchange::forward_event(const stream_event& event) {
    const event_order order = classify_event(last_event_id_, event.id);
    if (order == event_order::duplicate) {
        return true;
    }
    if (order == event_order::gap) {
        log_event(log_level::warning, "stream_gap",
                  {{"request", caller_.attempt},
                   {"server", attempt_.server->entry.id},
                   {"last", last_event_id_.value_or(0)},
                   {"event", event.id.value_or(0)}});
        return false;
    }
    if (!responder_->has_started()) {
        begin_stream();
    }
    responder_->write(event.bytes);
    last_event_id_ = event.id ? event.id : last_event_id_;
    ++events_forwarded_;
    return true;
}

void gateway_exchange::begin_stream() {
    first_event_at_ = std::chrono::steady_clock::now();
    stream_weights_ = attempt_.parameters.weights;
    responder_->begin(attempt_.status, platform::make_caller_headers(attempt_.headers));
}

void gateway_exchange::record_response_start() {
    if (attempt_.server != nullptr && attempt_.pending_prefill_ms > 0) {
        record_prefill_end(*attempt_.server, attempt_.pending_prefill_ms);
        attempt_.pending_prefill_ms = 0;
    }
}

void gateway_exchange::handle_done(const http_outcome& outcome) {
    if (attempt_.is_unusable || !outcome.is_complete) {
        handle_broken(outcome);
    } else {
        handle_response(outcome);
    }
}

lost_server gateway_exchange::attempted_server() const {
    return {attempt_.server->entry.id, attempt_.server->entry.started_at_ms};
}

void gateway_exchange::record_server_answer() {
    context_.crashes.record_answer(attempted_server(), attempt_.started_at);
    if (context_.crashes.status_of(fingerprint_) != quarantine_status::clear) {
        context_.crashes.release(fingerprint_);
    }
}

void gateway_exchange::handle_response(const http_outcome& outcome) {
    if (attempt_.parameters.is_not_run) {
        // For a resumed stream, 421 may also mean that the required weights do not match.
        const bool is_other_server = outcome.status == status_misdirected && events_forwarded_ == 0;
        end_attempt(is_other_server ? exchange_outcome::wrong_server : exchange_outcome::refused);
        handle_not_run(is_other_server ? "server_replaced" : "server_refused");
        return;
    }
    const bool is_truncated = attempt_.is_stream && !attempt_.events.pending.empty();
    const bool is_resumption_refused = events_forwarded_ > 0 && !attempt_.is_stream;
    const bool is_foreign_body =
        is_success(outcome.status) && attempt_.parameters.has_content_coding;
    if (!attempt_.parameters.has_seal || is_truncated || is_resumption_refused || is_foreign_body) {
        handle_broken(outcome);
        return;
    }
    record_server_answer();
    const bool is_failure = outcome.status >= first_server_error;
    end_attempt(is_failure ? exchange_outcome::failed : exchange_outcome::succeeded);
    verdict_ = run_verdict::ran;
    if (is_failure && is_retryable(*rule_) && may_retry(std::chrono::steady_clock::now())) {
        send_next();
        return;
    }
    deliver_response();
}

void gateway_exchange::handle_broken(const http_outcome& outcome) {
    const auto now = std::chrono::steady_clock::now();
    const bool is_out_of_time = outcome.is_timed_out && time_left(now) < min_send_time;
    const bool is_sent = outcome.verdict != run_verdict::not_run;
    const bool is_connection_lost = is_sent && !attempt_.is_unusable && !outcome.is_timed_out &&
                                    !outcome.is_cancelled && !outcome.is_complete;
    log_event(log_level::info, "attempt_broken",
              {{"request", caller_.attempt},
               {"fingerprint", fingerprint_},
               {"server", attempt_.server->entry.id},
               {"sent", is_sent ? 1 : 0},
               {"events", events_forwarded_},
               {"status", attempt_.status},
               {"reason", attempt_.is_unusable ? "unusable answer" : outcome.message}});
    if (is_connection_lost) {
        context_.crashes.record_loss(fingerprint_, attempted_server());
    }
    end_attempt(is_out_of_time ? exchange_outcome::abandoned : exchange_outcome::failed);
    if (!is_sent) {
        --attempt_count_;
        handle_not_run("unreachable");
        return;
    }
    verdict_ = combine_verdicts(verdict_, run_verdict::may_have_run);
    if (is_out_of_time) {
        fail_deadline();
        return;
    }
    if (is_retryable(*rule_)) {
        retry_or_fail("broken", &gateway_exchange::fail_broken);
    } else {
        fail_broken("broken");
    }
}

void gateway_exchange::handle_not_run(std::string_view reason) {
    retry_or_fail(reason, &gateway_exchange::fail_not_run);
}

void gateway_exchange::fail_not_run(std::string_view reason) {
    if (verdict_ != run_verdict::not_run) {
        fail_broken(reason);
        return;
    }
    const milliseconds backoff =
        context_.pool.time_until_backoff_ends(make_query(), std::chrono::steady_clock::now());
    refuse({status_unavailable, reason, "no backend server took the request",
            retry_after(std::max(failure_retry_delay, backoff), context_.pool.random())});
}

void gateway_exchange::fail_broken(std::string_view reason) {
    if (responder_->has_started()) {
        responder_->abort();
        finish(reason, 0);
        return;
    }
    refuse({status_bad_gateway, reason, "the backend server's answer was lost", {}});
}

void gateway_exchange::refuse_for(choice_failure failure_reason) {
    // A caller that retries within the latency objective may still be served in time.
    constexpr int retries_per_objective = 3;
    milliseconds min_delay = rule_->latency_objective / retries_per_objective;
    if (failure_reason == choice_failure::no_server) {
        min_delay = no_server_retry_delay;
    } else if (failure_reason == choice_failure::failing) {
        min_delay = failure_retry_delay;
    }
    min_delay = std::max(min_delay, context_.pool.time_until_backoff_ends(
                                        make_query(), std::chrono::steady_clock::now()));
    refuse({status_unavailable, name(failure_reason), "no backend server has room",
            context_.pool.retry_delay_after_refusal(service_, min_delay)});
}

void gateway_exchange::refuse(const refusal& details) {
    const platform::local_response response =
        platform::make_refusal(details.status, details.message, details.retry_after);
    responder_->respond(response.status, response.headers, response.body);
    finish(details.reason, details.status);
}

void gateway_exchange::deliver_response() {
    const auto headers = platform::make_caller_headers(attempt_.headers);
    if (!attempt_.is_stream) {
        responder_->respond(attempt_.status, headers, attempt_.body);
    } else {
        if (!responder_->has_started()) {
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
    context_.metric_registry.count(
        "citronseam_requests_total",
        {{"service", service_}, {"workspace", workspace}, {"outcome", std::string(outcome)}});
    const double total_s = elapsed_ms(received_at_, now) / 1000.0;
    context_.metric_registry.observe("citronseam_request_seconds", {{"workspace", workspace}},
                                     total_s);
    if (events_forwarded_ > 0) {
        context_.metric_registry.observe("citronseam_first_event_seconds",
                                         {{"workspace", workspace}},
                                         elapsed_ms(received_at_, first_event_at_) / 1000.0);
    }
    const bool is_answered = outcome == "answered";
    log_event(is_answered ? log_level::info : log_level::warning, "request_done",
              {{"request", caller_.attempt},
               {"outcome", outcome},
               {"status", status},
               {"verdict", name(verdict_)},
               {"route", route_name},
               {"workspace", workspace},
               {"server", tried_servers_.empty() ? "none" : tried_servers_.back()},
               {"busy", assumed_load_},
               {"expected_wait_ms", expected_wait_ms_},
               {"report_age_ms", report_age_ms_},
               {"sendings", attempt_count_},
               {"prompt_tokens", caller_.prompt_tokens},
               {"output_tokens", caller_.output_tokens},
               {"expected_tokens", caller_.expected_output_tokens},
               {"events", events_forwarded_},
               {"first_ms", events_forwarded_ > 0 ? elapsed_ms(received_at_, first_event_at_) : 0},
               {"total_ms", elapsed_ms(received_at_, now)},
               {"configuration",
                view_ == nullptr || view_->routes == nullptr ? 0 : view_->routes->rules->version}});
}

} // namespace citronseam
