#include "programs/gateway/gateway_exchange.h"

#include <algorithm>
#include <charconv>

#include "citronseam/process/log.h"
#include "citronseam/request/retry_budget.h"
#include "citronseam/request/shutdown_admission.h"
#include "programs/gateway/http_status.h"

namespace citronseam {
namespace {

/// Longest time for a connection to a backend server: a few round trips. When the opening packet is
/// lost the next one comes after a second, which is too late for most requests.
constexpr milliseconds connect_timeout{400};
/// An idempotent request is sent to another server after this many latency objectives.
constexpr int objectives_until_moved = 3;
constexpr milliseconds shortest_patience{300};
/// A stream is moved after a pause of this length at least; a busy engine may preempt a request for
/// several hundred milliseconds.
constexpr milliseconds shortest_stream_patience{1000};
/// Pause between two looks for another engine.
constexpr milliseconds leave_check_interval{100};

/// When callers should come back.
constexpr milliseconds configuration_wait{300}; ///< a process that starts reads it within this
constexpr milliseconds leaving_wait{50};        ///< other processes take requests now

std::optional<std::uint64_t> parse_event(const std::optional<std::string>& text) {
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

} // namespace citronseam
