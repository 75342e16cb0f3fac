#include "programs/gateway/gateway_exchange.h"

#include <algorithm>
#include <charconv>

#include "citronseam/process/log.h"
#include "citronseam/request/retry_budget.h"
#include "programs/gateway/early_refusal.h"
#include "programs/gateway/http_status.h"

namespace citronseam {
namespace {

/// A retryable request is moved to another server after this many latency objectives without data.
constexpr int stall_objectives = 3;
constexpr milliseconds min_stall_timeout{300};
/// Shortest pause after which a stream is moved; a busy engine may preempt a request for several
/// hundred milliseconds.
constexpr milliseconds min_stream_stall_timeout{1000};

/// Retry-After of refusals.
constexpr milliseconds configuration_retry_delay{300}; ///< a starting process reads it within this
constexpr milliseconds shutdown_retry_delay{50};       ///< other gateways accept requests already

/// More parts of a prompt are not compared.
constexpr std::size_t max_prompt_parts = 32;

std::optional<std::uint64_t> parse_event_id(const std::optional<std::string>& text) {
    if (!text) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char* end = text->data() + text->size();
    const auto read = std::from_chars(text->data(), end, number);
    return read.ec == std::errc{} && read.ptr == end ? std::optional(number) : std::nullopt;
}

/// @return what a request shares with others that may crash the same servers
std::vector<std::uint64_t> make_traits(std::uint64_t fingerprint,
                                       const platform::caller_parameters& caller) {
    std::vector<std::uint64_t> traits{fingerprint};
    for (const std::string& part : caller.shared_prompt_parts) {
        if (traits.size() <= max_prompt_parts) {
            traits.push_back(prompt_part_trait(caller.model, part));
        }
    }
    return traits;
}

} // namespace

gateway_exchange::gateway_exchange(gateway_context& context, server_request request,
                                   std::shared_ptr<http_responder> responder,
                                   time_point received_at)
    : context_(context), request_(std::move(request)), responder_(std::move(responder)),
      received_at_(received_at), caller_(platform::parse_caller_headers(request_.headers)) {
    // The HTTP client may use the body for longer than this object exists.
    struct counted_body {
        std::string body;
        std::shared_ptr<void> memory;
    };
    const auto body = std::make_shared<const counted_body>(
        counted_body{std::move(request_.body), std::move(request_.memory)});
    body_ = {body, &body->body};
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
    if (caller_.has_invalid_prompt_parts) {
        log_event(log_level::warning, "prompt_parts_invalid", {{"request", caller_.attempt}});
    }
    if (!resolve_route()) {
        return;
    }
    if (is_quarantined()) {
        refuse({status_unavailable, "quarantined", "this request has crashed backend servers",
                context_.crashes.expires_in()});
        return;
    }
    last_event_id_ = parse_event_id(caller_.last_event_id);
    context_.pool.record_request(service_, received_at_);
    context_.pool.record_offered(make_query(), received_at_);
    send_next();
}

bool gateway_exchange::resolve_route() {
    view_ = context_.pool.view();
    const route_lookup found =
        look_up_route(view_.get(), context_.options.node.configuration_due, received_at_,
                      caller_.host, request_.path, caller_.key);
    rule_ = found.rule;
    workspace_ = found.workspace;
    if (found.decision != route_decision::not_ready && context_.shutdown) {
        responder_->close_after_response();
    }
    switch (found.decision) {
    case route_decision::not_ready:
        refuse({status_unavailable, "not_ready", "no configuration is known yet",
                retry_after(configuration_retry_delay, context_.pool.random())});
        return false;
    case route_decision::outdated:
        refuse({status_unavailable, "outdated", "a newer configuration is on its way",
                retry_after(configuration_retry_delay, context_.pool.random())});
        return false;
    case route_decision::no_route:
        refuse({status_not_found, "no_route", no_route_message, {}});
        return false;
    case route_decision::unknown_key:
        refuse({status_unauthorized, "unknown_key", unknown_key_message, {}});
        return false;
    case route_decision::found:
        break;
    }
    fingerprint_ =
        request_fingerprint(caller_.host + " " + (workspace_ == nullptr ? "" : workspace_->name),
                            request_.method, request_.target, *body_);
    traits_ = make_traits(fingerprint_, caller_);
    service_ = choose_service(*rule_, context_.pool.random());
    const milliseconds timeout = caller_.timeout.value_or(rule_->timeout);
    deadline_ = received_at_ + std::min(timeout, rule_->timeout);
    if (!can_end_before_exit(received_at_)) {
        refuse_for_shutdown();
        return false;
    }
    return true;
}

bool gateway_exchange::can_end_before_exit(time_point now) const {
    return can_finish_before_exit(
        now, context_.shutdown,
        {time_left(now), context_.pool.max_duration(*rule_, service_, caller_.output_tokens),
         is_retryable(*rule_)});
}

void gateway_exchange::refuse_for_shutdown() {
    refuse({status_unavailable, "leaving", "this process is on its way out",
            retry_after(shutdown_retry_delay, context_.pool.random())});
}

bool gateway_exchange::is_quarantined() const {
    return context_.crashes.is_refused(traits_);
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
    // A busy process reads a request late, and its caller's leaving later still.
    if (responder_->has_client_left()) {
        handle_disconnect();
        return;
    }
    const server_selection selection = context_.pool.choose(make_query(), now);
    if (selection.server != nullptr) {
        attempt_ = send_to(selection);
    } else if (verdict_ == run_verdict::not_run) {
        refuse_for(selection.failure_reason);
    } else {
        fail_broken(name(selection.failure_reason));
    }
}

std::shared_ptr<gateway_exchange::attempt>
gateway_exchange::send_to(const server_selection& selection, bool is_proof_wanted) {
    const auto now = std::chrono::steady_clock::now();
    auto sent = std::make_shared<attempt>();
    sent->server = selection.server;
    sent->pending_prefill_ms = selection.prompt_prefill_ms;
    sent->profile_first_event_ms = selection.profile_first_event_ms;
    sent->started_at = now;
    sent->last_data_at = now;
    assumed_load_ = selection.assumed_load;
    expected_wait_ms_ = selection.expected_wait_ms;
    expected_arrivals_ = selection.expected_arrivals;
    min_weights_version_ = selection.min_weights_version;
    held_weights_version_ = selection.held_weights_version;
    report_age_ms_ =
        selection.server->has_report ? elapsed_ms(selection.server->reported_at, now) : 0;
    ++attempt_count_;
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
    request.shared_body = body_;
    request.timeout = parameters.timeout;
    request.connect_timeout = std::min(connect_timeout, parameters.timeout);
    // A new connection shows that the server is alive, whatever it does with the request.
    request.may_reuse_connection = is_retryable(*rule_) && !is_proof_wanted;
    request.echoed_header = platform::echoed_header();
    // Repeats of libcurl would count towards no limit.
    request.may_be_resent = false;
    if (attempt_count_ > 1) {
        log_event(log_level::info, "request_moved",
                  {{"request", caller_.attempt},
                   {"server", selection.server->entry.id},
                   {"sending", attempt_count_},
                   {"min_weights", min_weights_version_},
                   {"held_weights", held_weights_version_},
                   {"after_event", last_event_id_.value_or(0)}});
    }
    sent->number = context_.traffic.send(std::move(request), make_observer(sent));
    return sent;
}

void gateway_exchange::end_attempt(attempt& ended, exchange_outcome outcome) {
    if (ended.server != nullptr) {
        record_response_start(ended);
        // An attempt that the caller left, or that was given up for another reason than its
        // server, shows nothing.
        if (outcome == exchange_outcome::failed && !ended.has_data) {
            report_first_event(ended, true);
        }
        record_ended(*ended.server, outcome, std::chrono::steady_clock::now());
        ended.server = nullptr;
    }
}

void gateway_exchange::cancel_attempt(attempt& cancelled, exchange_outcome outcome) {
    if (cancelled.server == nullptr) {
        return;
    }
    record_open_silence(cancelled);
    context_.traffic.cancel(cancelled.number);
    end_attempt(cancelled, outcome);
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
           !has_unnumbered_event_ && !is_quarantined() &&
           (is_retryable(*rule_) || can_end_before_exit(now)) &&
           context_.pool.try_spend_retry(service_, now);
}

void gateway_exchange::fail_deadline() {
    fail_unfinished("out_of_time", "the time for the request is over", {});
}

void gateway_exchange::end_before_exit() {
    if (!is_done_) {
        fail_unfinished("leaving", "this process exits",
                        retry_after(shutdown_retry_delay, context_.pool.random()));
    }
}

void gateway_exchange::fail_unfinished(std::string_view reason, std::string message,
                                       milliseconds retry_delay) {
    const bool is_attempt_active = attempt_ != nullptr && attempt_->server != nullptr;
    if (responder_->has_started()) {
        responder_->abort();
        finish(reason, 0);
        return;
    }
    const bool is_not_run = verdict_ == run_verdict::not_run && !is_attempt_active;
    refuse({is_not_run ? status_unavailable : status_gateway_timeout, reason, std::move(message),
            is_not_run ? retry_delay : milliseconds(0)});
}

void gateway_exchange::handle_disconnect() {
    if (is_done_) {
        return;
    }
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
    settle_move(now);
    leave_replaced_weights(now);
    leave_quarantine(now);
    if (is_done_) {
        return;
    }
    const std::string_view reason = reason_to_move(now);
    if (reason.empty()) {
        return;
    }
    if (responder_->has_client_left()) {
        handle_disconnect();
        return;
    }
    start_move(reason, now);
}

} // namespace citronseam
