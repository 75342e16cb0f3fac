#include "programs/sidecar/weights_loader.h"

#include <array>
#include <utility>

#include "citronseam/process/enum_names.h"
#include "citronseam/process/log.h"
#include "citronseam/version/load_schedule.h"
#include "platform/engine.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<load_step>, 5> step_names{{
    {load_step::idle, "idle"},
    {load_step::stage, "stage"},
    {load_step::verify, "verify"},
    {load_step::scheduled, "turn"},
    {load_step::load, "load"},
}};

constexpr milliseconds retry_delay{200};
constexpr std::size_t max_order_reply_bytes = 64 * kibibyte;
/// The last load is scheduled this long before the weights are due: from then on, gateways send no
/// requests to engines with older weights, so such an engine would be idle.
constexpr milliseconds due_margin{900};
/// An engine may be idle this long between two versions; a load takes longer than that.
constexpr milliseconds max_idle{1000};
/// Time after which an accepted order is given again if its load has not started.
constexpr milliseconds order_timeout{1500};

/// @return whether an order with this outcome may still be executed
bool is_answer_unproven(platform::load_order_outcome outcome) {
    return outcome == platform::load_order_outcome::unknown ||
           outcome == platform::load_order_outcome::already_in_service;
}

} // namespace

std::string_view name(load_step step) noexcept {
    return find_name(step_names, step);
}

weights_loader::weights_loader(sidecar_context& context, engine_monitor& engine,
                               loader_callbacks callbacks)
    : context_(context), engine_(engine), callbacks_(std::move(callbacks)) {}

template<typename Function>
auto weights_loader::make_step_handler(Function function) {
    ++outstanding_requests_;
    // The loader owns the clients of its checks, whose requests must not keep it alive.
    return [loader = weak_from_this(), epoch = epoch_,
            function = std::move(function)](const http_response& response) {
        const auto self = loader.lock();
        if (self == nullptr) {
            return;
        }
        --self->outstanding_requests_;
        if (epoch == self->epoch_) {
            self->is_busy_ = false;
            if (self->take_next_weights()) {
                self->reconcile();
            } else {
                function(response);
            }
        }
    };
}

void weights_loader::set_complete_weights(std::shared_ptr<const complete_weights> weights) {
    next_weights_ = std::move(weights);
    reconcile();
}

void weights_loader::set_announced_at(const target_weights& target) {
    for (auto* weights : {&weights_, &next_weights_}) {
        if (*weights != nullptr && (*weights)->target.model == target.model &&
            (*weights)->target.version == target.version) {
            auto corrected = std::make_shared<complete_weights>(**weights);
            corrected->target.announced_at = target.announced_at;
            *weights = std::move(corrected);
        }
    }
}

/// Replaces the weights, unless a request or an order for the present ones is not settled.
/// @return whether they were replaced
bool weights_loader::take_next_weights() {
    if (next_weights_ == nullptr || outstanding_requests_ > 0 || step_ == load_step::load ||
        is_order_open_) {
        return false;
    }
    weights_ = std::exchange(next_weights_, nullptr);
    set_step(load_step::idle);
    return true;
}

void weights_loader::set_step(load_step step) {
    step_ = step;
    incarnation_ = engine_.incarnation();
    is_busy_ = false;
    ++epoch_;
}

bool weights_loader::is_active() const {
    return engine_.confirmed_state()->weights_version >= weights_->target.version;
}

void weights_loader::reconcile() {
    const auto now = std::chrono::steady_clock::now();
    take_next_weights();
    if (weights_ == nullptr || !engine_.confirmed_state() || now < retry_at_) {
        return;
    }
    if (incarnation_ != engine_.incarnation()) {
        // A restarted engine may have lost the staged chunks, and executes no earlier order.
        settle_order();
        set_step(load_step::idle);
    }
    settle_open_order();
    if (is_busy_) {
        return;
    }
    if (step_ == load_step::idle && !is_active()) {
        set_step(load_step::stage);
        stage_next(0);
    } else if (step_ == load_step::verify) {
        start_check();
    } else if (step_ == load_step::scheduled) {
        order_load_when_due();
    } else if (step_ == load_step::load) {
        watch_load();
    }
}

http_request weights_loader::make_stage_request(std::size_t chunk) const {
    return platform::make_stage_chunk_request(context_.options.backend_server.address,
                                              weights_->target.model, chunk,
                                              *weights_->chunks[chunk]);
}

void weights_loader::stage_next(std::size_t chunk) {
    if (chunk == weights_->chunks.size()) {
        start_check();
        return;
    }
    is_busy_ = true;
    fetch_on_control(context_, make_stage_request(chunk), max_chunk_size,
                     make_step_handler([this, chunk](const http_response& response) {
                         handle_stage_reply(chunk, response);
                     }));
}

void weights_loader::handle_stage_reply(std::size_t chunk, const http_response& response) {
    constexpr int first_failure_status = 300;
    if (response.outcome.is_complete && response.outcome.status < first_failure_status) {
        stage_next(chunk + 1);
        return;
    }
    log_event(log_level::warning, "piece_not_staged",
              {{"piece", chunk},
               {"status", response.outcome.status},
               {"reason", response.outcome.message}});
    retry_at_ = std::chrono::steady_clock::now() + retry_delay;
    set_step(load_step::idle);
}

void weights_loader::start_check() {
    set_step(load_step::verify);
    if (outstanding_requests_ == 0) {
        check_clients_.clear();
    }
    check_clients_.push_back(std::make_unique<http_client>());
    check_started_at_ = std::chrono::steady_clock::now();
    check_ = {weights_->target.version, engine_.incarnation(), boot_clock::now(), {}};
    verify_next(0);
}

void weights_loader::verify_next(std::size_t chunk) {
    if (chunk == weights_->chunks.size()) {
        check_.ended_at = boot_clock::now();
        report_late_check();
        set_step(load_step::scheduled);
        order_load_when_due();
        return;
    }
    is_busy_ = true;
    fetch_on_control(context_, *check_clients_.back(),
                     platform::make_staged_chunk_request(context_.options.backend_server.address,
                                                         weights_->target.model, chunk),
                     max_chunk_size,
                     make_step_handler([this, chunk](const http_response& response) {
                         handle_read_back(chunk, response);
                     }));
}

/// Without a report, nothing would show that each check is too old for an order when it ends.
void weights_loader::report_late_check() {
    const auto taken = check_.ended_at - check_.started_at;
    if (taken <= max_staging_check_age) {
        return;
    }
    context_.metric_registry.count("citronseam_late_checks_total");
    log_event(log_level::warning, "check_too_slow",
              {{"version", check_.version},
               {"pieces", weights_->chunks.size()},
               {"check_ms", std::chrono::duration_cast<milliseconds>(taken).count()},
               {"at_most_ms", max_staging_check_age.count()}});
}

void weights_loader::handle_read_back(std::size_t chunk, const http_response& response) {
    const bool is_valid = response.outcome.is_complete && response.outcome.status == 200 &&
                          is_chunk_valid(weights_->list, chunk, response.body);
    if (is_valid) {
        verify_next(chunk + 1);
        return;
    }
    if (!response.outcome.is_complete) {
        // The engine may be down, or refuse new connections.
        log_event(log_level::warning, "staged_piece_unread",
                  {{"piece", chunk}, {"reason", response.outcome.message}});
        retry_at_ = std::chrono::steady_clock::now() + retry_delay;
        return;
    }
    log_event(
        log_level::warning, "staged_piece_bad",
        {{"piece", chunk}, {"status", response.outcome.status}, {"bytes", response.body.size()}});
    is_busy_ = true;
    fetch_on_control(
        context_, make_stage_request(chunk), max_chunk_size,
        make_step_handler([this, chunk](const http_response&) { verify_next(chunk); }));
}

time_point weights_loader::scheduled_load_at() const {
    const auto instances = callbacks_.instances();
    const load_schedule_params params{
        weights_->target.announced_at, weights_->complete_at,
        context_.options.node.weights_switch_deadline - due_margin,
        load_order_index(swarm_version(weights_->target), context_.options.instance, instances),
        std::max<std::size_t>(instances.size(), 1)};
    return scheduled_load_time(params);
}

std::optional<time_point> weights_loader::scheduled_at() const {
    if (step_ != load_step::scheduled && step_ != load_step::verify) {
        return std::nullopt;
    }
    return scheduled_load_at();
}

/// While newer weights are being fetched, the engines in the later half of the schedule skip these:
/// each load costs the time in which running requests drain.
bool weights_loader::should_wait_for_newer(time_point now) const {
    if (callbacks_.newest_version() <= weights_->target.version) {
        return false;
    }
    const auto instances = callbacks_.instances();
    const std::size_t index =
        load_order_index(swarm_version(weights_->target), context_.options.instance, instances);
    const bool is_in_later_half = index * 2 >= instances.size();
    const auto deadline =
        weights_->target.announced_at + context_.options.node.weights_switch_deadline - due_margin;
    return is_in_later_half && now + callbacks_.newest_remaining_time() <= deadline + max_idle;
}

/// An order is accepted only at its expected count, which it increments.
void weights_loader::settle_open_order() {
    if (!is_order_open_ || engine_.confirmed_state()->accepted_order_count == ordered_count_) {
        return;
    }
    settle_order();
    if (step_ != load_step::load) {
        set_step(load_step::load); // it was about to be repeated
    }
}

void weights_loader::order_load_when_due() {
    const auto now = std::chrono::steady_clock::now();
    if (!engine_.confirmed_state()) {
        return;
    }
    const bool serves_nothing = engine_.confirmed_state()->weights_version == 0;
    const bool is_early = now < scheduled_load_at() || should_wait_for_newer(now);
    if (!serves_nothing && !is_order_open_ && is_early) {
        return;
    }
    const order_conditions conditions{weights_->target.version, engine_.incarnation(),
                                      engine_.confirmed_at(), boot_clock::now()};
    switch (may_order(check_, conditions)) {
    case order_permission::granted:
        send_load_order();
        break;
    case order_permission::needs_state:
        engine_.request_confirmation(); // read within the poll interval
        break;
    case order_permission::needs_check:
        start_check();
        break;
    }
}

void weights_loader::send_load_order() {
    set_step(load_step::load);
    ordered_at_ = std::chrono::steady_clock::now();
    platform::load_order load;
    load.model = weights_->target.model;
    load.version = weights_->target.version;
    // Versions increase, so the engine refuses a delayed order of an earlier sidecar process.
    load.fencing_token = weights_->target.version;
    load.accepted_order_count = engine_.confirmed_state()->accepted_order_count;
    is_order_open_ = true;
    ordered_count_ = load.accepted_order_count;
    log_event(
        log_level::info, "load_ordered",
        {{"version", load.version},
         {"after_ms", elapsed_ms(weights_->target.announced_at, ordered_at_)},
         {"checked", check_.version},
         {"check_ms", elapsed_ms(check_started_at_, ordered_at_)},
         {"check_real_ms",
          std::chrono::duration_cast<milliseconds>(boot_clock::now() - check_.started_at).count()},
         {"check_life", check_.engine_incarnation},
         {"life", engine_.incarnation()},
         {"running", engine_.confirmed_state()->running},
         {"orders", load.accepted_order_count}});
    is_busy_ = true;
    fetch_on_control(
        context_, *check_clients_.back(),
        platform::make_load_order_request(context_.options.backend_server.address, load),
        max_order_reply_bytes,
        make_step_handler([this](const http_response& response) { handle_order_reply(response); }));
    check_ = {}; // one order for each check and its connection
}

void weights_loader::settle_order() {
    is_order_open_ = false;
    unanswered_since_.reset();
}

/// A refusal says nothing of an equal order that got no answer before and may still be executed,
/// unless the engine has seen a higher fencing token. An engine that refuses its weights for good
/// must not keep newer ones waiting: beyond the time in which weights are due, the order is lost.
bool weights_loader::is_earlier_order_open(platform::load_order_outcome refusal) const {
    return unanswered_since_ && refusal != platform::load_order_outcome::superseded &&
           std::chrono::steady_clock::now() - *unanswered_since_ <
               context_.options.node.weights_switch_deadline;
}

/// No answer names its order, but all earlier answers on its connection are those to readings of
/// chunks: 200 may be one of them. Only the engine's state then shows what became of the order.
void weights_loader::handle_order_reply(const http_response& response) {
    order_answered_at_ = boot_clock::now();
    const platform::load_order_outcome outcome = platform::parse_order_outcome(response);
    if (is_answer_unproven(outcome) && !unanswered_since_) {
        unanswered_since_ = ordered_at_;
    }
    if (outcome == platform::load_order_outcome::unknown) {
        log_event(log_level::warning, "load_unanswered",
                  {{"version", weights_->target.version},
                   {"status", response.outcome.status},
                   {"reason", response.outcome.message}});
        retry_at_ = std::chrono::steady_clock::now() + retry_delay;
        return;
    }
    if (outcome == platform::load_order_outcome::already_in_service) {
        return; // watch_load() detects the outcome
    }
    if (outcome == platform::load_order_outcome::accepted) {
        settle_order(); // watch_load() detects the outcome
        return;
    }
    log_event(log_level::warning, "load_refused",
              {{"version", weights_->target.version},
               {"status", response.outcome.status},
               {"open", is_earlier_order_open(outcome)}});
    context_.metric_registry.count("citronseam_loads_failed_total");
    retry_at_ = std::chrono::steady_clock::now() + retry_delay;
    if (!is_earlier_order_open(outcome)) {
        settle_order();
        set_step(load_step::scheduled);
    }
}

void weights_loader::watch_load() {
    const auto now = std::chrono::steady_clock::now();
    const bool is_executing = engine_.confirmed_state()->is_executing_load_order;
    if (!is_executing && engine_.confirmed_state()->accepted_order_count > 0 && is_active()) {
        log_event(log_level::info, "weights_in_force",
                  {{"version", engine_.confirmed_state()->weights_version},
                   {"after_ms", elapsed_ms(weights_->target.announced_at, now)},
                   {"load_ms", elapsed_ms(ordered_at_, now)}});
        settle_order(); // it would be answered as already in effect
        set_step(load_step::idle);
        return;
    }
    if (is_executing) {
        return;
    }
    if (engine_.confirmed_at() <= order_answered_at_) {
        engine_.request_confirmation();
        return;
    }
    if (is_order_open_) {
        // The order may still be executed, with what is staged then. The engine accepts one of two
        // equal orders.
        start_check();
        return;
    }
    if (now - ordered_at_ <= order_timeout) {
        return;
    }
    log_event(log_level::info, "load_again", {{"version", weights_->target.version}});
    set_step(load_step::idle);
}

} // namespace citronseam
