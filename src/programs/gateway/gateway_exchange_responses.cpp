// Response handling of gateway_exchange: from backend servers and to callers.
#include <algorithm>
#include <limits>
#include <sstream>

#include "citronseam/process/log.h"
#include "citronseam/process/random.h"
#include "citronseam/request/retry_budget.h"
#include "programs/gateway/early_refusal.h"
#include "programs/gateway/gateway_exchange.h"
#include "programs/gateway/http_status.h"

namespace citronseam {
namespace {

constexpr std::size_t max_response_bytes = 8 * mebibyte;

/// A server that goes on for this long after it began to answer is not crashed by the request: that
/// happens as it begins.
constexpr milliseconds survival_time{500};

constexpr milliseconds no_server_retry_delay{500}; ///< servers finish loading weights within this
constexpr milliseconds failure_retry_delay{200};   ///< usual exclusion of a failing server

/// @return the items separated by commas
template<typename Item>
std::string join(const std::vector<Item>& items) {
    std::ostringstream text;
    for (std::size_t i = 0; i < items.size(); ++i) {
        text << (i == 0 ? "" : ",") << items[i];
    }
    return text.str();
}

/// @return whether only the end of the connection shows where the response ends
bool is_unframed(const http_outcome& outcome) {
    return outcome.framing == body_framing::connection;
}

bool is_success(int status) {
    constexpr int first = 200;
    constexpr int end = 300;
    return status >= first && status < end;
}

} // namespace

bool gateway_exchange::is_current(const std::shared_ptr<attempt>& source) const {
    const bool has_slot = source == attempt_ || source == replacement_;
    return has_slot && source->server != nullptr && !is_done_;
}

http_observer gateway_exchange::make_observer(const std::shared_ptr<attempt>& source) {
    http_observer observer;
    observer.on_head = [self = shared_from_this(),
                        source](int status, const std::vector<http_header>& headers) {
        if (self->is_current(source)) {
            self->handle_head(*source, status, headers);
        }
    };
    observer.on_data = [self = shared_from_this(), source](std::string_view data) {
        return self->is_current(source) && self->handle_data(*source, data);
    };
    observer.on_done = [self = shared_from_this(), source](const http_outcome& outcome) {
        if (!self->is_current(source)) {
            return;
        }
        // That a request has not run is stated in the head.
        const bool is_not_run = source->parameters.is_not_run;
        if (outcome.is_complete && is_unframed(outcome) && !is_not_run) {
            self->check_end(source, outcome);
        } else {
            self->handle_done(*source, outcome);
        }
    };
    return observer;
}

/// The crash of a server closes its connections, so it looks like the end of a response without
/// length. Such a response counts as complete only if the server is known to accept connections
/// after it.
void gateway_exchange::check_end(const std::shared_ptr<attempt>& source,
                                 const http_outcome& outcome) {
    http_request request;
    request.url = "http://" + source->server->entry.address;
    request.is_connect_only = true;
    request.may_reuse_connection = false;
    request.timeout = connect_timeout;
    request.connect_timeout = connect_timeout;
    http_observer observer;
    observer.on_done = [self = shared_from_this(), source, outcome](const http_outcome& connected) {
        if (!self->is_current(source)) {
            return;
        }
        log_event(log_level::info, "response_end_checked",
                  {{"request", self->caller_.attempt},
                   {"server", source->server->entry.id},
                   {"reason", connected.is_complete ? "" : connected.message}});
        http_outcome checked = outcome;
        if (!connected.is_complete) {
            checked.is_complete = false;
            checked.is_timed_out = connected.is_timed_out;
            checked.verdict = run_verdict::may_have_run;
            checked.message = "no connection to the server after its response";
        }
        self->handle_done(*source, checked);
    };
    context_.traffic.send(std::move(request), std::move(observer));
}

void gateway_exchange::handle_head(attempt& current, int status,
                                   const std::vector<http_header>& headers) {
    record_life(current);
    current.has_head = true;
    current.status = status;
    current.headers = headers;
    current.parameters = platform::parse_response_headers(status, headers);
    // The server may send a late response to an earlier request instead of this one's.
    const std::string& answered = current.parameters.attempt;
    // Only refusals leave it out. Any other answer without it, on a connection that carried another
    // request, may be that one's.
    const bool is_unnamed = answered.empty() && !current.parameters.is_not_run &&
                            context_.traffic.is_on_reused_connection(current.number);
    current.is_unusable = is_unnamed || (!answered.empty() && answered != caller_.attempt);
    current.is_stream = rule_->kind == retry_class::streaming && status == status_ok &&
                        current.parameters.has_seal && !current.parameters.is_not_run &&
                        !current.parameters.has_content_coding;
    record_server_signals(current);
}

/// Records what the server says of itself, whether it ran the request or not.
void gateway_exchange::record_server_signals(const attempt& source) {
    // Another server answers 421 at an address that is reused.
    if (source.is_unusable || source.status == status_misdirected) {
        return;
    }
    const platform::response_parameters& answer = source.parameters;
    if (answer.is_leaving) {
        context_.pool.record_leaving(*source.server);
    }
    if (answer.retry_after_s || answer.has_invalid_retry_after) {
        context_.pool.record_requested_backoff(*source.server, answer.retry_after_s,
                                               std::chrono::steady_clock::now());
    }
    record_server_limit(source);
}

void gateway_exchange::record_server_limit(const attempt& source) {
    const platform::response_parameters& answer = source.parameters;
    if (answer.has_invalid_limit) {
        log_event(log_level::warning, "server_limit_invalid",
                  {{"request", caller_.attempt}, {"server", source.server->entry.id}});
        return;
    }
    // Only an answer that is certainly the server's shows that it names no limit any more.
    if (answer.request_limit || answer.has_seal) {
        context_.pool.record_limit(*source.server, answer.request_limit, source.started_at,
                                   std::chrono::steady_clock::now());
    }
}

bool gateway_exchange::handle_data(attempt& current, std::string_view data) {
    record_life(current);
    current.last_data_at = std::chrono::steady_clock::now();
    if (current.is_unusable) {
        return false;
    }
    if (!current.has_data) {
        current.begun_at = current.last_data_at;
    }
    current.has_data = true;
    if (current.last_data_at - current.begun_at >= survival_time) {
        record_survival(current);
    }
    record_response_start(current);
    if (current.is_stream) {
        report_first_event(current, false);
        current.is_unusable =
            !feed(current.events, data) || !accept_events(current) ||
            !current.buffered.resize(context_.traffic.buffers(), buffered_bytes(current));
        return !current.is_unusable;
    }
    const std::size_t size = current.body.size() + data.size();
    current.is_unusable =
        size > max_response_bytes || !current.buffered.resize(context_.traffic.buffers(), size);
    if (current.is_unusable) {
        current.body = {};
        return false;
    }
    current.body += data;
    return true;
}

bool gateway_exchange::accept_events(attempt& source) {
    while (auto event = next_event(source.events)) {
        if (!accept_event(source, std::move(*event))) {
            return false;
        }
    }
    return true;
}

/// Forwards an event. While the request moves, an event of the first attempt is held, and one of
/// the replacement, when it is the next one, lets the replacement go on.
bool gateway_exchange::accept_event(attempt& source, stream_event event) {
    if (!is_moving()) {
        return forward_event(source, event);
    }
    if (&source == attempt_.get()) {
        held_bytes_ += event.bytes.size();
        source.has_new_event = source.has_new_event || !is_comment(event);
        held_events_.push_back(std::move(event));
        source.progress = attempt_progress::begun;
        settle_move(std::chrono::steady_clock::now());
        return !source.is_unusable;
    }
    if (is_comment(event)) {
        // It does not show that the replacement goes on.
        return true;
    }
    if (classify_event(last_event_id_, event.id) == event_order::next) {
        source.progress = attempt_progress::begun;
        settle_move(std::chrono::steady_clock::now());
    }
    return forward_event(source, event);
}

/// @return whether the server has sent a part of an event
bool gateway_exchange::has_begun_event(const attempt& source) {
    return source.is_stream && !source.events.pending.empty();
}

bool gateway_exchange::forward_event(attempt& source, const stream_event& event) {
    const event_order order =
        is_comment(event) ? event_order::next : classify_event(last_event_id_, event.id);
    if (order == event_order::duplicate) {
        return true;
    }
    if (order == event_order::gap) {
        log_event(log_level::warning, "stream_gap",
                  {{"request", caller_.attempt},
                   {"server", source.server->entry.id},
                   {"last", last_event_id_.value_or(0)},
                   {"event", event.id.value_or(0)}});
        return false;
    }
    if (!responder_->has_started()) {
        begin_stream();
    }
    responder_->write(event.bytes);
    source.has_new_event = source.has_new_event || !is_comment(event);
    has_unnumbered_event_ = has_unnumbered_event_ || (!event.id && !is_comment(event));
    last_event_id_ = event.id ? event.id : last_event_id_;
    last_forwarded_at_ = std::chrono::steady_clock::now();
    ++events_forwarded_;
    return true;
}

std::size_t gateway_exchange::buffered_bytes(const attempt& source) const {
    return source.events.pending.size() + (&source == attempt_.get() ? held_bytes_ : 0);
}

void gateway_exchange::begin_stream() {
    first_event_at_ = std::chrono::steady_clock::now();
    stream_weights_ = attempt_->parameters.weights;
    responder_->begin(attempt_->status, platform::make_caller_headers(attempt_->headers));
}

void gateway_exchange::record_response_start(attempt& source) {
    if (source.server != nullptr && source.pending_prefill_ms > 0) {
        record_prefill_end(*source.server, source.pending_prefill_ms);
        source.pending_prefill_ms = 0;
    }
}

/// Tells the engine's sidecar, once for each attempt, when its first event came or that it was lost
/// before. A response without events begins only when all its tokens are there, so that its start
/// does not show when the engine began.
void gateway_exchange::report_first_event(attempt& source, bool is_lost) {
    if (source.server == nullptr || !source.profile_first_event_ms) {
        return;
    }
    wire::first_event_reportT report;
    report.server_address = source.server->entry.address;
    report.incarnation = source.server->entry.started_at_ms;
    report.wait_ms = elapsed_ms(source.started_at, std::chrono::steady_clock::now());
    report.expected_ms = static_cast<std::uint32_t>(*source.profile_first_event_ms);
    report.prompt_tokens = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(caller_.prompt_tokens, std::numeric_limits<std::uint32_t>::max()));
    report.is_lost = is_lost;
    source.profile_first_event_ms.reset();
    context_.first_events.report(std::move(report));
}

void gateway_exchange::handle_done(attempt& source, const http_outcome& outcome) {
    source.outcome = outcome;
    if (is_moving()) {
        const bool is_usable = classify_response(source, outcome) == response_kind::usable;
        source.progress = is_usable ? attempt_progress::complete : attempt_progress::failed;
        settle_move(std::chrono::steady_clock::now());
    }
    const response_kind kind = classify_response(source, outcome);
    record_response(source, outcome, kind);
    if (&source != attempt_.get()) {
        return;
    }
    if (kind == response_kind::broken) {
        handle_broken(outcome);
    } else {
        handle_response(kind);
    }
}

lost_server gateway_exchange::attempted_server(const attempt& source) {
    return {source.server->entry.id, source.server->entry.started_at_ms};
}

/// Records what an answer shows of its server and of the request.
void gateway_exchange::record_answer(attempt& source, response_kind kind) {
    context_.crashes.record_answer(attempted_server(source), source.started_at);
    // A server may fail a request before it runs it.
    if (kind == response_kind::usable && is_success(source.status)) {
        record_survival(source);
    }
}

void gateway_exchange::record_survival(attempt& source) {
    if (!source.has_survived) {
        source.has_survived = true;
        context_.crashes.record_survival(traits_);
    }
}

/// Records that the server was lost while it may have been running the request.
void gateway_exchange::record_loss(const attempt& source) {
    if (!source.has_survived) {
        context_.crashes.record_loss(attempted_server(source), make_suspect(source));
    }
}

crash_suspect gateway_exchange::make_suspect(const attempt& source) const {
    return {hash_text(caller_.attempt), traits_, source.started_at};
}

void gateway_exchange::record_life(const attempt& source) {
    source.server->last_heard_at = std::chrono::steady_clock::now();
    context_.crashes.record_life(attempted_server(source));
}

/// Records that an attempt was given up whose server may have crashed without closing its
/// connections.
void gateway_exchange::record_silence(const attempt& given_up, bool is_on_new_connection) {
    const auto now = std::chrono::steady_clock::now();
    if (given_up.has_survived || now - given_up.last_data_at < min_silence) {
        return;
    }
    const time_point heard_at = given_up.server->last_heard_at;
    const time_point alive_at =
        is_on_new_connection ? std::max(heard_at, given_up.started_at) : heard_at;
    context_.crashes.record_silence(
        {attempted_server(given_up), make_suspect(given_up), now, alive_at});
}

/// The same for an attempt that is still open.
void gateway_exchange::record_open_silence(const attempt& given_up) {
    if (context_.traffic.is_sent(given_up.number)) {
        record_silence(given_up, !context_.traffic.is_on_reused_connection(given_up.number));
    }
}

gateway_exchange::response_kind
gateway_exchange::classify_response(const attempt& source, const http_outcome& outcome) const {
    if (source.is_unusable || !outcome.is_complete) {
        return response_kind::broken;
    }
    if (source.parameters.is_not_run) {
        return response_kind::not_run;
    }
    const bool is_empty = is_unframed(outcome) && !source.has_data && is_success(source.status);
    const bool is_short = is_event_due_ && !source.has_new_event;
    const bool is_truncated =
        is_empty || (source.is_stream && (is_short || !source.events.pending.empty()));
    const bool is_resumption_refused = events_forwarded_ > 0 && !source.is_stream;
    // These statuses promise that the request has not run, which this server did not say.
    const bool is_unfounded_promise = source.status == status_request_timeout ||
                                      source.status == status_too_many_requests ||
                                      source.status == status_unavailable;
    const bool is_foreign_body = is_success(source.status) && source.parameters.has_content_coding;
    if (!source.parameters.has_seal || is_truncated || is_resumption_refused || is_foreign_body ||
        is_unfounded_promise) {
        return response_kind::broken;
    }
    return source.status >= first_server_error ? response_kind::failure : response_kind::usable;
}

/// @return whether another server has the address by now. For a resumed stream, 421 may also mean
/// that the required weights do not match.
bool gateway_exchange::is_other_server(const attempt& source) const {
    return source.status == status_misdirected && events_forwarded_ == 0;
}

void gateway_exchange::record_response(attempt& source, const http_outcome& outcome,
                                       response_kind kind) {
    if (kind == response_kind::broken) {
        record_broken(source, outcome);
    } else if (kind == response_kind::not_run) {
        // An unnamed refusal on a connection that carried another request may be that one's, so it
        // is no promise for this one.
        if (source.parameters.attempt.empty() && outcome.is_connection_reused) {
            verdict_ = combine_verdicts(verdict_, run_verdict::may_have_run);
        }
        end_attempt(source, is_other_server(source) ? exchange_outcome::wrong_server
                                                    : exchange_outcome::refused);
    } else {
        record_answer(source, kind);
        end_attempt(source, kind == response_kind::failure ? exchange_outcome::failed
                                                           : exchange_outcome::succeeded);
        verdict_ = run_verdict::ran;
    }
}

void gateway_exchange::record_broken(attempt& source, const http_outcome& outcome) {
    const auto now = std::chrono::steady_clock::now();
    const bool is_out_of_time = outcome.is_timed_out && time_left(now) < min_send_time;
    const bool is_sent = outcome.verdict != run_verdict::not_run;
    const bool is_connection_lost = is_sent && !source.is_unusable && !outcome.is_timed_out &&
                                    !outcome.is_cancelled && !outcome.is_malformed &&
                                    !outcome.is_complete;
    log_event(log_level::info, "attempt_broken",
              {{"request", caller_.attempt},
               {"fingerprint", fingerprint_},
               {"prompt_parts", join(caller_.shared_prompt_parts)},
               {"traits", join(traits_)},
               {"server", source.server->entry.id},
               {"sent", is_sent ? 1 : 0},
               {"sent_ms_ago", elapsed_ms(source.started_at, now)},
               {"begun_ms_ago", source.has_data ? elapsed_ms(source.begun_at, now) : 0},
               {"events", events_forwarded_},
               {"status", source.status},
               {"answer_end", name(outcome.framing)},
               {"answer_bytes", outcome.body_bytes},
               {"head_whole", outcome.is_head_whole ? 1 : 0},
               {"reused", outcome.is_connection_reused ? 1 : 0},
               {"reason", source.is_unusable ? "unusable answer" : outcome.message}});
    if (is_connection_lost) {
        record_loss(source);
    } else if (is_sent && outcome.is_timed_out) {
        record_silence(source, !outcome.is_connection_reused);
    }
    is_event_due_ = is_event_due_ || has_begun_event(source);
    end_attempt(source, is_out_of_time ? exchange_outcome::abandoned : exchange_outcome::failed);
    if (is_sent) {
        verdict_ = combine_verdicts(verdict_, run_verdict::may_have_run);
    } else {
        --attempt_count_;
    }
}

void gateway_exchange::handle_response(response_kind kind) {
    if (kind == response_kind::not_run) {
        handle_not_run(is_other_server(*attempt_) ? "server_replaced" : "server_refused");
        return;
    }
    const bool is_failure = kind == response_kind::failure;
    failure_ = is_failure ? attempt_ : nullptr;
    if (is_failure && is_retryable(*rule_) && may_retry(std::chrono::steady_clock::now())) {
        send_next();
        return;
    }
    deliver_response();
}

void gateway_exchange::handle_broken(const http_outcome& outcome) {
    if (outcome.verdict == run_verdict::not_run) {
        handle_not_run("unreachable");
    } else if (outcome.is_timed_out &&
               time_left(std::chrono::steady_clock::now()) < min_send_time) {
        fail_deadline();
    } else if (is_retryable(*rule_)) {
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
    if (failure_ != nullptr) {
        // It still waits at its server if the request is refused meanwhile.
        cancel_attempt(*attempt_, exchange_outcome::abandoned);
        attempt_ = failure_;
        deliver_response();
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
    const auto headers = platform::make_caller_headers(attempt_->headers);
    if (!attempt_->is_stream) {
        if (is_unframed(attempt_->outcome)) {
            responder_->respond_until_close(attempt_->status, headers, attempt_->body);
        } else {
            responder_->respond(attempt_->status, headers, attempt_->body);
        }
    } else {
        if (!responder_->has_started()) {
            begin_stream();
        }
        responder_->finish();
    }
    finish("answered", attempt_->status);
}

void gateway_exchange::finish(std::string_view outcome, int status) {
    is_done_ = true;
    for (const auto& open : {attempt_, replacement_}) {
        if (open != nullptr) {
            cancel_attempt(*open, exchange_outcome::abandoned);
        }
    }
    const auto now = std::chrono::steady_clock::now();
    const std::string route_name = rule_ == nullptr ? "none" : rule_->name;
    const std::string workspace = workspace_ == nullptr ? "none" : workspace_->name;
    record_request_metrics(context_.metric_registry, service_, workspace, outcome,
                           elapsed_ms(received_at_, now));
    if (events_forwarded_ > 0) {
        context_.metric_registry.observe("citronseam_first_event_seconds",
                                         {{"workspace", workspace}},
                                         elapsed_ms(received_at_, first_event_at_) / 1000.0);
    }
    const bool is_answered = outcome == "answered";
    const http_outcome answer = attempt_ == nullptr ? http_outcome{} : attempt_->outcome;
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
               {"expected_arrivals", expected_arrivals_},
               {"min_weights", min_weights_version_},
               {"held_weights", held_weights_version_},
               {"report_age_ms", report_age_ms_},
               {"sendings", attempt_count_},
               {"prompt_tokens", caller_.prompt_tokens},
               {"output_tokens", caller_.output_tokens},
               {"expected_tokens", caller_.expected_output_tokens},
               {"events", events_forwarded_},
               {"answer_end", is_answered ? name(answer.framing) : "none"},
               {"answer_bytes", answer.body_bytes},
               {"head_whole", answer.is_head_whole ? 1 : 0},
               {"reused", answer.is_connection_reused ? 1 : 0},
               {"first_ms", events_forwarded_ > 0 ? elapsed_ms(received_at_, first_event_at_) : 0},
               {"total_ms", elapsed_ms(received_at_, now)},
               {"configuration",
                view_ == nullptr || view_->routes == nullptr ? 0 : view_->routes->rules->version}});
}

} // namespace citronseam
