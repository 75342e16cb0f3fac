#include "programs/sidecar/weights_loader.h"

#include <array>

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
    {load_step::turn, "turn"},
    {load_step::load, "load"},
}};

constexpr milliseconds pause_after_failure{200};
constexpr std::size_t largest_order_answer = 64 * kibibyte;
/// Pieces that lie at an engine may turn bad, so they are read back shortly before the order.
constexpr milliseconds longest_verified_age{1000};
/// The last turn comes this long before the weights are due: gateways use no older weights then,
/// and an engine that still has them would stand idle.
constexpr milliseconds due_margin{900};
/// An engine may stand idle this long between two versions; a load takes longer.
constexpr milliseconds longest_idle{1000};
/// An order whose load has not begun after this time may have been lost.
constexpr milliseconds order_patience{1500};

} // namespace

std::string_view name(load_step step) noexcept {
    return find_name(step_names, step);
}

weights_loader::weights_loader(sidecar_context& context, engine_watch& engine,
                               loader_surroundings surroundings)
    : context_(context), engine_(engine), surroundings_(std::move(surroundings)) {}

template<typename Function>
auto weights_loader::guarded(Function function) {
    return [self = shared_from_this(), epoch = epoch_,
            function = std::move(function)](const http_answer& answer) {
        if (epoch == self->epoch_) {
            self->is_busy_ = false;
            function(answer);
        }
    };
}

void weights_loader::set_whole(std::shared_ptr<const whole_weights> weights) {
    weights_ = std::move(weights);
    // An order that was accepted is carried out with the pieces as they lay then.
    if (step_ != load_step::load) {
        enter(load_step::idle);
        reconcile();
    }
}

void weights_loader::enter(load_step step) {
    step_ = step;
    life_ = engine_.life();
    is_busy_ = false;
    ++epoch_;
}

bool weights_loader::is_in_force() const {
    return engine_.state()->weights_version >= weights_->wanted.version;
}

void weights_loader::reconcile() {
    const auto now = std::chrono::steady_clock::now();
    if (weights_ == nullptr || !engine_.state() || now < next_try_) {
        return;
    }
    if (life_ != engine_.life()) {
        // A new life of the engine may have lost what was laid down.
        enter(load_step::idle);
    }
    if (is_busy_) {
        return;
    }
    if (step_ == load_step::idle && !is_in_force()) {
        enter(load_step::stage);
        stage_next(0);
    } else if (step_ == load_step::turn) {
        wait_for_turn();
    } else if (step_ == load_step::load) {
        watch_load();
    }
}

http_request weights_loader::stage_request(std::size_t piece) const {
    return platform::stage_piece(context_.options.backend_server.address, weights_->wanted.model,
                                 piece, *weights_->pieces[piece]);
}

void weights_loader::stage_next(std::size_t piece) {
    if (piece == weights_->pieces.size()) {
        enter(load_step::verify);
        verify_next(0);
        return;
    }
    is_busy_ = true;
    fetch_on_control(
        context_, stage_request(piece), largest_chunk_size,
        guarded([this, piece](const http_answer& answer) { take_staged(piece, answer); }));
}

void weights_loader::take_staged(std::size_t piece, const http_answer& answer) {
    constexpr int first_failure = 300;
    if (answer.outcome.is_complete && answer.outcome.status < first_failure) {
        stage_next(piece + 1);
        return;
    }
    log_event(
        log_level::warning, "piece_not_staged",
        {{"piece", piece}, {"status", answer.outcome.status}, {"reason", answer.outcome.message}});
    next_try_ = std::chrono::steady_clock::now() + pause_after_failure;
    enter(load_step::idle);
}

void weights_loader::verify_next(std::size_t piece) {
    if (piece == weights_->pieces.size()) {
        verified_at_ = std::chrono::steady_clock::now();
        enter(load_step::turn);
        wait_for_turn();
        return;
    }
    is_busy_ = true;
    fetch_on_control(context_,
                     platform::read_staged_piece(context_.options.backend_server.address,
                                                 weights_->wanted.model, piece),
                     largest_chunk_size, guarded([this, piece](const http_answer& answer) {
                         take_read_back(piece, answer);
                     }));
}

void weights_loader::take_read_back(std::size_t piece, const http_answer& answer) {
    const bool is_sound = answer.outcome.is_complete && answer.outcome.status == 200 &&
                          is_chunk_valid(weights_->list, piece, answer.body);
    if (is_sound) {
        verify_next(piece + 1);
        return;
    }
    log_event(log_level::warning, "staged_piece_bad",
              {{"piece", piece}, {"status", answer.outcome.status}, {"bytes", answer.body.size()}});
    is_busy_ = true;
    fetch_on_control(context_, stage_request(piece), largest_chunk_size,
                     guarded([this, piece](const http_answer&) { verify_next(piece); }));
}

time_point weights_loader::turn_at() const {
    const auto instances = surroundings_.instances();
    const load_turn_terms terms{
        weights_->wanted.named_at, weights_->whole_at,
        context_.options.node.weights_due - due_margin,
        turn_of(swarm_version(weights_->wanted), context_.options.instance, instances),
        std::max<std::size_t>(instances.size(), 1)};
    return load_moment(terms);
}

std::optional<time_point> weights_loader::planned_at() const {
    if (step_ != load_step::turn && step_ != load_step::verify) {
        return std::nullopt;
    }
    return turn_at();
}

/// With newer weights on their way, engines of the later turns leave these out: each load costs the
/// time in which running requests end.
bool weights_loader::waits_for_newer(time_point now) const {
    if (surroundings_.newest_version() <= weights_->wanted.version) {
        return false;
    }
    const auto instances = surroundings_.instances();
    const std::size_t turn =
        turn_of(swarm_version(weights_->wanted), context_.options.instance, instances);
    const bool is_in_later_half = turn * 2 >= instances.size();
    const auto due = weights_->wanted.named_at + context_.options.node.weights_due - due_margin;
    return is_in_later_half && now + surroundings_.newest_remaining() <= due + longest_idle;
}

void weights_loader::wait_for_turn() {
    const auto now = std::chrono::steady_clock::now();
    const bool serves_nothing = engine_.state()->weights_version == 0;
    if (!serves_nothing && (now < turn_at() || waits_for_newer(now))) {
        return;
    }
    if (now - verified_at_ > longest_verified_age) {
        enter(load_step::verify);
        verify_next(0);
        return;
    }
    order();
}

void weights_loader::order() {
    enter(load_step::load);
    ordered_at_ = std::chrono::steady_clock::now();
    platform::load_order wanted;
    wanted.model = weights_->wanted.model;
    wanted.version = weights_->wanted.version;
    // Versions increase, so an order of an earlier process that arrives late is refused.
    wanted.fencing = weights_->wanted.version;
    wanted.orders_accepted = engine_.state()->orders_accepted;
    log_event(log_level::info, "load_ordered",
              {{"version", wanted.version},
               {"after_ms", elapsed_ms(weights_->wanted.named_at, ordered_at_)},
               {"running", engine_.state()->running},
               {"orders", wanted.orders_accepted}});
    is_busy_ = true;
    fetch_on_control(context_,
                     platform::order_load(context_.options.backend_server.address, wanted),
                     largest_order_answer,
                     guarded([this](const http_answer& answer) { take_order_answer(answer); }));
}

void weights_loader::take_order_answer(const http_answer& answer) {
    const platform::order_outcome outcome = platform::outcome_of_order(answer);
    if (outcome == platform::order_outcome::begun || outcome == platform::order_outcome::in_force ||
        outcome == platform::order_outcome::unknown) {
        return; // watch_load() sees what became of it
    }
    log_event(log_level::warning, "load_refused",
              {{"version", weights_->wanted.version}, {"status", answer.outcome.status}});
    context_.numbers.count("citronseam_loads_failed_total");
    next_try_ = std::chrono::steady_clock::now() + pause_after_failure;
    enter(load_step::turn);
}

void weights_loader::watch_load() {
    const auto now = std::chrono::steady_clock::now();
    const bool is_executing = engine_.state()->is_executing_order;
    if (!is_executing && engine_.state()->orders_accepted > 0 && is_in_force()) {
        log_event(log_level::info, "weights_in_force",
                  {{"version", engine_.state()->weights_version},
                   {"after_ms", elapsed_ms(weights_->wanted.named_at, now)},
                   {"load_ms", elapsed_ms(ordered_at_, now)}});
        enter(load_step::idle);
        return;
    }
    if (is_executing || now - ordered_at_ <= order_patience) {
        return;
    }
    // Either the order was lost, or newer weights became whole while older ones were loaded.
    log_event(log_level::info, "load_again", {{"version", weights_->wanted.version}});
    enter(load_step::idle);
}

} // namespace citronseam
