#include "programs/gateway/gateway_exchange.h"

#include <algorithm>
#include <charconv>

#include "citronseam/process/log.h"
#include "citronseam/request/leaving.h"
#include "citronseam/request/retry_budget.h"

namespace citronseam {
namespace {

/// Longest time for a connection to a backend server: a few round trips. When the opening packet is
/// lost the next one comes after a second, which is too late for most requests.
constexpr milliseconds connect_timeout{400};
/// With less than this left a backend server cannot finish anything.
constexpr milliseconds least_time_to_send{20};
/// An idempotent request is sent to another server after this many latency objectives.
constexpr int objectives_until_moved = 3;
constexpr milliseconds shortest_patience{300};
/// A stream is moved after a pause of this length at least; a busy engine may preempt a request for
/// several hundred milliseconds.
constexpr milliseconds shortest_stream_patience{1000};
/// Pause between two looks for another engine.
constexpr milliseconds leave_check_interval{100};
constexpr std::size_t largest_answer = 8 * mebibyte;

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int first_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// When callers should come back.
constexpr milliseconds configuration_wait{300}; ///< a process that starts reads it within this
constexpr milliseconds no_server_wait{500};     ///< servers that load weights are back within this
constexpr milliseconds leaving_wait{50};        ///< other processes take requests now
constexpr milliseconds failing_wait{200};       ///< length of a usual bar after failures

std::optional<std::uint64_t> parse_event(const std::optional<std::string>& text) {
    if (!text) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const auto read = std::from_chars(text->data(), text->data() + text->size(), number);
    return read.ec == std::errc{} ? std::optional(number) : std::nullopt;
}

bool is_success(int status) {
    constexpr int first = 200;
    constexpr int end = 300;
    return status >= first && status < end;
}

} // namespace

gateway_exchange::gateway_exchange(gateway_context& context, server_request request,
                                   std::shared_ptr<http_responder> responder,
                                   time_point received_at)
    : context_(context), request_(std::move(request)), responder_(std::move(responder)),
      received_at_(received_at), terms_(platform::read_caller_terms(request_.headers)) {
    ++context_.running;
}

gateway_exchange::~gateway_exchange() {
    --context_.running;
}

void gateway_exchange::start() {
    responder_->on_hang_up([weak = weak_from_this(), &traffic = context_.traffic] {
        traffic.post([weak] {
            if (const auto self = weak.lock()) {
                self->hang_up();
            }
        });
    });
    if (!find_target()) {
        return;
    }
    last_event_ = parse_event(terms_.last_event);
    context_.pool.note_request(service_, received_at_);
    send_next();
}

bool gateway_exchange::find_target() {
    view_ = context_.pool.view();
    if (view_ == nullptr || view_->routes == nullptr || !view_->has_servers) {
        refuse({status_unavailable, "not_ready", "no configuration is known yet",
                retry_after(configuration_wait, context_.pool.random())});
        return false;
    }
    if (view_->leaves_at) {
        responder_->close_after_answer();
    }
    rule_ = find_route(*view_->routes, terms_.host, request_.path);
    if (rule_ == nullptr) {
        refuse({status_not_found, "no_route", "no route for this host and path", {}});
        return false;
    }
    workspace_ = find_workspace(*view_->routes, terms_.key);
    const bool is_key_required = rule_->needs_key && !view_->routes->rules->workspaces.empty();
    if (is_key_required && workspace_ == nullptr) {
        refuse({status_unauthorized, "unknown_key", "the key is not known", {}});
        return false;
    }
    service_ = choose_service(*rule_, context_.pool.random());
    if (!may_take(received_at_, view_->leaves_at,
                  context_.pool.longest_duration(*rule_, service_, terms_.output_tokens))) {
        refuse({status_unavailable, "leaving", "this process is on its way out",
                retry_after(leaving_wait, context_.pool.random())});
        return false;
    }
    const milliseconds patience = terms_.patience.value_or(rule_->timeout);
    deadline_ = received_at_ + std::min(patience, rule_->timeout);
    return true;
}

milliseconds gateway_exchange::time_left(time_point now) const {
    return std::chrono::duration_cast<milliseconds>(deadline_ - now);
}

server_wish gateway_exchange::make_wish() const {
    server_wish wish;
    wish.rule = rule_;
    wish.workspace = workspace_;
    wish.service = service_;
    wish.tried = tried_;
    wish.prompt_tokens = terms_.prompt_tokens;
    wish.output_tokens = terms_.expected_output_tokens;
    wish.exact_weights = events_passed_ > 0 ? stream_weights_ : 0;
    return wish;
}

void gateway_exchange::send_next() {
    const auto now = std::chrono::steady_clock::now();
    if (time_left(now) < least_time_to_send) {
        end_late();
        return;
    }
    const server_offer offer = context_.pool.choose(make_wish(), now);
    if (offer.server != nullptr) {
        send_to(offer);
    } else if (verdict_ == run_verdict::not_run) {
        refuse_for(offer.obstacle);
    } else {
        give_up_broken(name(offer.obstacle));
    }
}

void gateway_exchange::send_to(const server_offer& offer) {
    const auto now = std::chrono::steady_clock::now();
    attempt_ = {};
    attempt_.server = offer.server;
    attempt_.unread_ms = offer.prompt_ms;
    attempt_.began_at = now;
    attempt_.heard_at = now;
    chosen_busy_ = offer.busy;
    expected_wait_ms_ = offer.wait_ms;
    report_age_ms_ = offer.server->has_report ? elapsed_ms(offer.server->reported_at, now) : 0;
    ++sendings_;
    ++generation_;
    tried_.push_back(offer.server->entry.id);

    platform::dispatch_terms terms;
    terms.patience = time_left(now);
    terms.server = offer.server->entry.id;
    terms.workspace = workspace_ == nullptr ? "" : workspace_->name;
    terms.weights = events_passed_ > 0 ? stream_weights_ : 0;
    terms.rank = std::clamp(rank_of(*rule_, workspace_), 0, 9);
    if (last_event_) {
        terms.last_event = std::to_string(*last_event_);
    } else {
        terms.last_event = terms_.last_event;
    }
    http_request request;
    request.method = request_.method;
    request.url = "http://" + offer.server->entry.address + request_.target;
    request.headers = platform::write_dispatch_headers(request_.headers, terms);
    request.body = request_.body;
    request.timeout = terms.patience;
    request.connect_timeout = std::min(connect_timeout, terms.patience);
    request.may_reuse_connection = is_repeatable(*rule_);
    if (sendings_ > 1) {
        log_event(log_level::info, "request_moved",
                  {{"request", terms_.attempt},
                   {"server", offer.server->entry.id},
                   {"sending", sendings_},
                   {"after_event", last_event_.value_or(0)}});
    }
    attempt_.number = context_.traffic.send(std::move(request), make_observer(generation_));
}

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

void gateway_exchange::end_attempt(exchange_standing standing) {
    if (attempt_.server != nullptr) {
        note_answer_began();
        note_ended(*attempt_.server, standing, std::chrono::steady_clock::now());
        attempt_.server = nullptr;
    }
}

void gateway_exchange::cancel_attempt(exchange_standing standing) {
    if (attempt_.server == nullptr) {
        return;
    }
    ++generation_;
    context_.traffic.cancel(attempt_.number);
    end_attempt(standing);
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
        end_attempt(exchange_standing::refused);
        handle_not_run("server_refused");
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

void gateway_exchange::retry_or(std::string_view why,
                                void (gateway_exchange::*give_up)(std::string_view)) {
    if (may_send_again(std::chrono::steady_clock::now())) {
        send_next();
    } else {
        (this->*give_up)(why);
    }
}

bool gateway_exchange::may_send_again(time_point now) {
    return sendings_ < rule_->most_attempts && time_left(now) >= least_time_to_send &&
           context_.pool.take_repeat(service_, now);
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

void gateway_exchange::end_late() {
    const bool is_under_way = attempt_.server != nullptr;
    cancel_attempt(exchange_standing::ended);
    if (responder_->has_begun()) {
        responder_->abort();
        finish("out_of_time", 0);
        return;
    }
    const bool is_not_run = verdict_ == run_verdict::not_run && !is_under_way;
    refuse({is_not_run ? status_unavailable : status_gateway_timeout,
            "out_of_time",
            "the time for the request is over",
            {}});
}

void gateway_exchange::hang_up() {
    if (is_done_) {
        return;
    }
    cancel_attempt(exchange_standing::ended);
    finish("caller_left", 0);
}

milliseconds gateway_exchange::patience_for_part() const {
    if (rule_->kind != repetition::streaming) {
        return std::max(shortest_patience, rule_->latency_objective * objectives_until_moved);
    }
    const milliseconds objective =
        events_passed_ == 0 ? rule_->latency_objective : rule_->event_gap_objective;
    return std::max(shortest_stream_patience, objective * objectives_until_moved);
}

void gateway_exchange::check_time(time_point now) {
    if (is_done_ || rule_ == nullptr) {
        return;
    }
    if (now >= deadline_) {
        end_late();
        return;
    }
    if (attempt_.server != nullptr && events_passed_ == 0 &&
        !context_.pool.may_begin(*attempt_.server, service_, now)) {
        move("weights_replaced", now);
        return;
    }
    if (leave_before_load(now)) {
        return;
    }
    const bool is_stalled =
        attempt_.server != nullptr && now - attempt_.heard_at > patience_for_part();
    if (is_stalled && is_repeatable(*rule_) && may_send_again(now)) {
        move("stalled", now);
    }
}

/// An engine loads new weights once all that runs there has ended, and takes nothing meanwhile. A
/// stream that would keep it from loading goes on at another engine with the same weights.
bool gateway_exchange::leave_before_load(time_point now) {
    if (attempt_.server == nullptr || rule_->kind != repetition::streaming ||
        !is_repeatable(*rule_) || sendings_ >= rule_->most_attempts || now < next_leave_check_) {
        return false;
    }
    const milliseconds rest =
        context_.pool.expected_rest(*rule_, service_, terms_.expected_output_tokens,
                                    milliseconds(elapsed_ms(attempt_.began_at, now)));
    if (!keeps_from_loading(*attempt_.server, rest, now)) {
        return false;
    }
    next_leave_check_ = now + leave_check_interval;
    server_wish wish = make_wish();
    wish.is_optional = true;
    if (events_passed_ == 0) {
        wish.exact_weights = 0;
    }
    const server_offer offer = context_.pool.choose(wish, now);
    if (offer.server == nullptr) {
        return false;
    }
    if (!context_.pool.take_repeat(service_, now)) {
        note_prompt_read(*offer.server, offer.prompt_ms);
        note_ended(*offer.server, exchange_standing::ended, now);
        return false;
    }
    log_event(log_level::info, "attempt_left",
              {{"request", terms_.attempt},
               {"server", attempt_.server->entry.id},
               {"reason", "engine_loads"},
               {"events", events_passed_},
               {"rest_ms", rest.count()}});
    cancel_attempt(exchange_standing::ended);
    verdict_ = combine(verdict_, run_verdict::may_have_run);
    send_to(offer);
    return true;
}

/// Takes the request from its server and sends it to another one, or gives it up.
void gateway_exchange::move(std::string_view why, time_point now) {
    log_event(log_level::info, "attempt_left",
              {{"request", terms_.attempt},
               {"server", attempt_.server->entry.id},
               {"reason", why},
               {"events", events_passed_},
               {"silent_ms", elapsed_ms(attempt_.heard_at, now)}});
    const bool is_stalled = why == "stalled";
    cancel_attempt(is_stalled ? exchange_standing::broken : exchange_standing::ended);
    verdict_ = combine(verdict_, run_verdict::may_have_run);
    if (is_stalled || may_send_again(now)) {
        send_next();
    } else {
        give_up_broken(why);
    }
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
