#include "programs/gateway/gateway_exchange.h"

#include <algorithm>
#include <charconv>

#include "citronseam/process/log.h"
#include "citronseam/request/quarantine.h"
#include "citronseam/request/retry_budget.h"
#include "citronseam/request/shutdown_admission.h"
#include "programs/gateway/http_status.h"

namespace citronseam {
namespace {

/// Limit on opening a connection to a backend server: a few round trips. A lost SYN is resent only
/// after a second, which is too late for most requests.
constexpr milliseconds connect_timeout{400};
/// A retryable request is moved to another server after this many latency objectives without data.
constexpr int stall_objectives = 3;
constexpr milliseconds min_stall_timeout{300};
/// Shortest pause after which a stream is moved; a busy engine may preempt a request for several
/// hundred milliseconds.
constexpr milliseconds min_stream_stall_timeout{1000};
/// Pause between two attempts to find another engine.
constexpr milliseconds move_check_interval{100};

/// Retry-After of refusals.
constexpr milliseconds configuration_retry_delay{300}; ///< a starting process reads it within this
constexpr milliseconds shutdown_retry_delay{50};       ///< other gateways accept requests already

std::optional<std::uint64_t> parse_event_id(const std::optional<std::string>& text) {
    if (!text) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const auto read = std::from_chars(text->data(), text->data() + text->size(), number);
    return read.ec == std::errc{} ? std::optional(number) : std::nullopt;
}

} // namespace

gateway_exchange::gateway_exchange(gateway_context& context, server_request request,
                                   std::shared_ptr<http_responder> responder,
                                   time_point received_at)
    : context_(context), request_(std::move(request)), responder_(std::move(responder)),
      received_at_(received_at), caller_(platform::parse_caller_headers(request_.headers)) {
    ++context_.requests_in_flight;
}

gateway_exchange::~gateway_exchange() {
    --context_.requests_in_flight;
}

void gateway_exchange::start() {
    responder_->on_disconnect([weak = weak_from_this(), &traffic = context_.traffic] {
        traffic.post([weak] {
            if (const auto self = weak.lock()) {
                self->handle_disconnect();
            }
        });
    });
    if (!resolve_route()) {
        return;
    }
    if (is_quarantined()) {
        refuse({status_unavailable, "quarantined", "this request has crashed backend servers",
                context_.crashes.expires_in(fingerprint_)});
        return;
    }
    last_event_id_ = parse_event_id(caller_.last_event_id);
    context_.pool.record_request(service_, received_at_);
    send_next();
}

bool gateway_exchange::resolve_route() {
    view_ = context_.pool.view();
    if (view_ == nullptr || !is_complete(*view_)) {
        refuse({status_unavailable, "not_ready", "no configuration is known yet",
                retry_after(configuration_retry_delay, context_.pool.random())});
        return false;
    }
    if (view_->shutdown_at) {
        responder_->close_after_response();
    }
    rule_ = find_route(*view_->routes, caller_.host, request_.path);
    workspace_ = find_workspace(*view_->routes, caller_.key);
    const auto trust =
        trust_in_configuration(*view_, context_.options.node.configuration_due, received_at_);
    if (!may_decide(trust, *view_->routes, rule_, workspace_)) {
        refuse({status_unavailable, "outdated", "a newer configuration is on its way",
                retry_after(configuration_retry_delay, context_.pool.random())});
        return false;
    }
    if (rule_ == nullptr) {
        refuse({status_not_found, "no_route", "no route for this host and path", {}});
        return false;
    }
    if (is_key_missing(*view_->routes, *rule_, workspace_)) {
        refuse({status_unauthorized, "unknown_key", "the key is not known", {}});
        return false;
    }
    fingerprint_ =
        request_fingerprint(caller_.host + " " + (workspace_ == nullptr ? "" : workspace_->name),
                            request_.method, request_.target, request_.body);
    service_ = choose_service(*rule_, context_.pool.random());
    if (!can_finish_before_exit(
            received_at_, view_->shutdown_at,
            context_.pool.max_duration(*rule_, service_, caller_.output_tokens))) {
        refuse({status_unavailable, "leaving", "this process is on its way out",
                retry_after(shutdown_retry_delay, context_.pool.random())});
        return false;
    }
    const milliseconds timeout = caller_.timeout.value_or(rule_->timeout);
    deadline_ = received_at_ + std::min(timeout, rule_->timeout);
    return true;
}

bool gateway_exchange::is_quarantined() const {
    return context_.crashes.status_of(fingerprint_) == quarantine_status::refused;
}

milliseconds gateway_exchange::time_left(time_point now) const {
    return std::chrono::duration_cast<milliseconds>(deadline_ - now);
}

server_query gateway_exchange::make_query() const {
    server_query query;
    query.rule = rule_;
    query.workspace = workspace_;
    query.routes = view_->routes.get();
    query.host = caller_.host;
    query.path = request_.path;
    query.key = caller_.key;
    query.service = service_;
    query.tried_servers = tried_servers_;
    query.prompt_tokens = caller_.prompt_tokens;
    query.output_tokens = caller_.expected_output_tokens;
    query.required_weights = events_forwarded_ > 0 ? stream_weights_ : 0;
    return query;
}

void gateway_exchange::send_next() {
    const auto now = std::chrono::steady_clock::now();
    if (time_left(now) < min_send_time) {
        fail_deadline();
        return;
    }
    const server_selection selection = context_.pool.choose(make_query(), now);
    if (selection.server != nullptr) {
        send_to(selection);
    } else if (verdict_ == run_verdict::not_run) {
        refuse_for(selection.failure_reason);
    } else {
        fail_broken(name(selection.failure_reason));
    }
}

void gateway_exchange::send_to(const server_selection& selection) {
    const auto now = std::chrono::steady_clock::now();
    attempt_ = {};
    attempt_.server = selection.server;
    attempt_.pending_prefill_ms = selection.prompt_prefill_ms;
    attempt_.started_at = now;
    attempt_.last_data_at = now;
    assumed_load_ = selection.assumed_load;
    expected_wait_ms_ = selection.expected_wait_ms;
    report_age_ms_ =
        selection.server->has_report ? elapsed_ms(selection.server->reported_at, now) : 0;
    ++attempt_count_;
    ++generation_;
    tried_servers_.push_back(selection.server->entry.id);

    platform::dispatch_parameters parameters;
    parameters.timeout = time_left(now);
    parameters.server = selection.server->entry.id;
    parameters.workspace = workspace_ == nullptr ? "" : workspace_->name;
    parameters.weights = events_forwarded_ > 0 ? stream_weights_ : 0;
    parameters.rank = std::clamp(priority_of(*rule_, workspace_), 0, 9);
    if (last_event_id_) {
        parameters.last_event_id = std::to_string(*last_event_id_);
    } else {
        parameters.last_event_id = caller_.last_event_id;
    }
    http_request request;
    request.method = request_.method;
    request.url = "http://" + selection.server->entry.address + request_.target;
    request.headers = platform::make_dispatch_headers(request_.headers, parameters);
    request.body = request_.body;
    request.timeout = parameters.timeout;
    request.connect_timeout = std::min(connect_timeout, parameters.timeout);
    request.may_reuse_connection = is_retryable(*rule_);
    // Repeats of libcurl would count towards no limit.
    request.may_be_resent = false;
    if (attempt_count_ > 1) {
        log_event(log_level::info, "request_moved",
                  {{"request", caller_.attempt},
                   {"server", selection.server->entry.id},
                   {"sending", attempt_count_},
                   {"after_event", last_event_id_.value_or(0)}});
    }
    attempt_.number = context_.traffic.send(std::move(request), make_observer(generation_));
}

void gateway_exchange::end_attempt(exchange_outcome outcome) {
    if (attempt_.server != nullptr) {
        record_response_start();
        record_ended(*attempt_.server, outcome, std::chrono::steady_clock::now());
        attempt_.server = nullptr;
    }
}

void gateway_exchange::cancel_attempt(exchange_outcome outcome) {
    if (attempt_.server == nullptr) {
        return;
    }
    ++generation_;
    context_.traffic.cancel(attempt_.number);
    end_attempt(outcome);
}

void gateway_exchange::retry_or_fail(std::string_view reason,
                                     void (gateway_exchange::*fail)(std::string_view)) {
    if (may_retry(std::chrono::steady_clock::now())) {
        send_next();
    } else {
        (this->*fail)(reason);
    }
}

bool gateway_exchange::may_retry(time_point now) {
    return attempt_count_ < rule_->max_attempts && time_left(now) >= min_send_time &&
           !is_quarantined() && context_.pool.try_spend_retry(service_, now);
}

void gateway_exchange::fail_deadline() {
    const bool is_attempt_active = attempt_.server != nullptr;
    cancel_attempt(exchange_outcome::abandoned);
    if (responder_->has_started()) {
        responder_->abort();
        finish("out_of_time", 0);
        return;
    }
    const bool is_not_run = verdict_ == run_verdict::not_run && !is_attempt_active;
    refuse({is_not_run ? status_unavailable : status_gateway_timeout,
            "out_of_time",
            "the time for the request is over",
            {}});
}

void gateway_exchange::handle_disconnect() {
    if (is_done_) {
        return;
    }
    cancel_attempt(exchange_outcome::abandoned);
    finish("caller_left", 0);
}

milliseconds gateway_exchange::stall_timeout() const {
    if (rule_->kind != retry_class::streaming) {
        return std::max(min_stall_timeout, rule_->latency_objective * stall_objectives);
    }
    const milliseconds objective =
        events_forwarded_ == 0 ? rule_->latency_objective : rule_->event_gap_objective;
    return std::max(min_stream_stall_timeout, objective * stall_objectives);
}

void gateway_exchange::check_time(time_point now) {
    if (is_done_ || rule_ == nullptr) {
        return;
    }
    if (now >= deadline_) {
        fail_deadline();
        return;
    }
    if (attempt_.server != nullptr && !attempt_.has_data &&
        !context_.pool.may_start_at(*attempt_.server, service_, now)) {
        move_to_other_server("weights_replaced", now);
        return;
    }
    if (move_before_load(now)) {
        return;
    }
    const bool is_stalled =
        attempt_.server != nullptr && now - attempt_.last_data_at > stall_timeout();
    if (is_stalled && is_retryable(*rule_) && may_retry(now)) {
        move_to_other_server("stalled", now);
    }
}

/// An engine loads new weights only once all its running requests have ended, and accepts none
/// meanwhile. A stream that would delay the load is moved to another engine with the same weights.
bool gateway_exchange::move_before_load(time_point now) {
    if (attempt_.server == nullptr || rule_->kind != retry_class::streaming ||
        !is_retryable(*rule_) || attempt_count_ >= rule_->max_attempts || now < next_move_check_ ||
        is_quarantined()) {
        return false;
    }
    const milliseconds remaining =
        context_.pool.expected_remaining(*rule_, service_, caller_.expected_output_tokens,
                                         milliseconds(elapsed_ms(attempt_.started_at, now)));
    if (!delays_weight_load(*attempt_.server, remaining, now)) {
        return false;
    }
    next_move_check_ = now + move_check_interval;
    server_query query = make_query();
    query.is_optional = true;
    if (events_forwarded_ == 0) {
        query.required_weights = 0;
    }
    const server_selection selection = context_.pool.choose(query, now);
    if (selection.server == nullptr) {
        return false;
    }
    if (!context_.pool.try_spend_retry(service_, now)) {
        record_prefill_end(*selection.server, selection.prompt_prefill_ms);
        record_ended(*selection.server, exchange_outcome::abandoned, now);
        return false;
    }
    log_event(log_level::info, "attempt_cancelled",
              {{"request", caller_.attempt},
               {"server", attempt_.server->entry.id},
               {"reason", "engine_loads"},
               {"events", events_forwarded_},
               {"rest_ms", remaining.count()}});
    cancel_attempt(exchange_outcome::abandoned);
    verdict_ = combine_verdicts(verdict_, run_verdict::may_have_run);
    send_to(selection);
    return true;
}

/// Cancels the current attempt and sends the request to another server, or fails it.
void gateway_exchange::move_to_other_server(std::string_view reason, time_point now) {
    log_event(log_level::info, "attempt_cancelled",
              {{"request", caller_.attempt},
               {"server", attempt_.server->entry.id},
               {"reason", reason},
               {"events", events_forwarded_},
               {"sent_ms_ago", elapsed_ms(attempt_.started_at, now)},
               {"silent_ms", elapsed_ms(attempt_.last_data_at, now)}});
    const bool is_stalled = reason == "stalled";
    cancel_attempt(is_stalled ? exchange_outcome::failed : exchange_outcome::abandoned);
    verdict_ = combine_verdicts(verdict_, run_verdict::may_have_run);
    // A resumed stream needs the weights that are replaced, so no server can take it.
    const bool has_other_server = reason != "weights_replaced" || events_forwarded_ == 0;
    // The cancelled attempt may run all the same.
    const bool is_allowed = is_retryable(*rule_) && has_other_server;
    if (is_stalled || (is_allowed && may_retry(now))) {
        send_next();
    } else {
        fail_broken(reason);
    }
}

} // namespace citronseam
