#include "programs/sidecar/weights_keeper.h"

#include <array>
#include <utility>

#include "citronseam/process/enum_names.h"
#include "citronseam/process/log.h"
#include "citronseam/version/load_turn.h"
#include "platform/engine.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<keeper_step>, 7> step_names{{
    {keeper_step::list, "list"},
    {keeper_step::fetch, "fetch"},
    {keeper_step::stage, "stage"},
    {keeper_step::verify, "verify"},
    {keeper_step::turn, "turn"},
    {keeper_step::load, "load"},
    {keeper_step::done, "done"},
}};

constexpr milliseconds pause_after_failure{200};
constexpr milliseconds progress_interval{500};
constexpr std::size_t largest_list = mebibyte;
/// Pieces that lie at an engine may turn bad, so they are read back shortly before the order.
constexpr milliseconds longest_verified_age{1000};
/// Requests that run when the order comes end first; nearly all do within this time.
constexpr milliseconds usual_drain{1800};
/// Gateways stop using older weights this long before they are due, and hear of the new ones late.
constexpr milliseconds due_margin{800};
/// An order whose load has not begun after this time may have been lost.
constexpr milliseconds order_patience{1500};

} // namespace

std::string_view name(keeper_step step) noexcept {
    return find_name(step_names, step);
}

weights_keeper::weights_keeper(sidecar_context& context, engine_watch& engine,
                               std::shared_ptr<chunk_swarm> swarm)
    : context_(context), engine_(engine), swarm_(std::move(swarm)) {}

template<typename Function>
auto weights_keeper::guarded(Function function) {
    return [self = shared_from_this(), epoch = epoch_,
            function = std::move(function)](const http_answer& answer) {
        if (epoch == self->epoch_) {
            self->is_busy_ = false;
            function(answer);
        }
    };
}

void weights_keeper::set_wanted(const wanted_weights& wanted) {
    const wanted_weights& newest = next_ ? *next_ : wanted_;
    if (wanted.model == newest.model && wanted.version <= newest.version) {
        return;
    }
    next_ = wanted;
    if (!must_finish_first()) {
        begin(*std::exchange(next_, std::nullopt));
    }
}

/// Weights that are nearly there are put in force although newer ones were named: they are due
/// before the newer ones can be here.
bool weights_keeper::must_finish_first() const {
    const bool is_over =
        std::chrono::steady_clock::now() - wanted_.named_at > context_.options.node.weights_due;
    if (is_over || wanted_.version == 0) {
        return false;
    }
    if (step_ == keeper_step::fetch) {
        return count_held(swarm_->chunks(), list_) * 2 >= list_.chunks.size();
    }
    return step_ == keeper_step::stage || step_ == keeper_step::verify ||
           step_ == keeper_step::turn;
}

void weights_keeper::begin(const wanted_weights& wanted) {
    log_event(log_level::info, "weights_wanted",
              {{"model", wanted.model},
               {"version", wanted.version},
               {"before", wanted_.version},
               {"step", name(step_)}});
    wanted_ = wanted;
    list_ = {};
    is_staged_adopted_ = false;
    // A load that was ordered goes on at the engine; the newer one follows it.
    restart(keeper_step::list);
}

void weights_keeper::set_origin(const std::string& address) {
    origin_ = address;
}

void weights_keeper::enter(keeper_step step) {
    step_ = step;
    life_ = engine_.life();
    is_busy_ = false;
    ++epoch_;
}

void weights_keeper::restart(keeper_step step) {
    next_try_ = std::chrono::steady_clock::now();
    enter(step);
}

http_request weights_keeper::make_draw(std::size_t piece) const {
    return platform::read_piece(origin_, wanted_.model, wanted_.version, piece);
}

bool weights_keeper::is_in_force() const {
    return engine_.state() && engine_.state()->weights_version >= wanted_.version;
}

void weights_keeper::reconcile() {
    const auto now = std::chrono::steady_clock::now();
    if (next_ && !must_finish_first()) {
        begin(*std::exchange(next_, std::nullopt));
    }
    if (wanted_.version == 0 || is_busy_ || now < next_try_) {
        return;
    }
    if (!engine_.state()) {
        return;
    }
    const bool is_new_engine = life_ != engine_.life();
    if (is_new_engine && step_ > keeper_step::fetch) {
        // What lies at the engine may be gone; what is held here is not.
        is_staged_adopted_ = false;
        restart(list_.chunks.empty() ? keeper_step::list : keeper_step::fetch);
        begin_fetch();
        return;
    }
    switch (step_) {
    case keeper_step::list:
        read_list();
        break;
    case keeper_step::fetch:
        swarm_->tick();
        note_progress(now);
        break;
    case keeper_step::turn:
        wait_for_turn();
        break;
    case keeper_step::load:
        watch_load();
        break;
    case keeper_step::done:
        if (!is_in_force()) {
            restart(list_.chunks.empty() ? keeper_step::list : keeper_step::fetch);
            begin_fetch();
        }
        break;
    case keeper_step::stage:
    case keeper_step::verify:
        break;
    }
}

void weights_keeper::note_progress(time_point now) {
    if (now - progress_noted_at_ < progress_interval) {
        return;
    }
    progress_noted_at_ = now;
    log_event(log_level::info, "weights_progress",
              {{"version", wanted_.version},
               {"pieces", count_held(swarm_->chunks(), list_)},
               {"of", list_.chunks.size()},
               {"members", swarm_->members().size()},
               {"after_ms", elapsed_ms(wanted_.named_at, now)}});
}

void weights_keeper::read_list() {
    if (origin_.empty()) {
        return;
    }
    is_busy_ = true;
    fetch_on_control(context_,
                     platform::read_piece_list(origin_, wanted_.model, wanted_.version),
                     largest_list, guarded([this](const http_answer& answer) { take_list(answer); }));
}

void weights_keeper::take_list(const http_answer& answer) {
    const auto pieces = answer.outcome.is_complete && answer.outcome.status == 200
                            ? platform::parse_piece_list(answer.body)
                            : result<platform::piece_list>(
                                  failure(error_code::unavailable, answer.outcome.message));
    if (!pieces || pieces->version != wanted_.version) {
        log_event(log_level::warning, "piece_list_unread",
                  {{"version", wanted_.version},
                   {"status", answer.outcome.status},
                   {"reason", pieces ? "another version" : pieces.error().message}});
        next_try_ = std::chrono::steady_clock::now() + pause_after_failure;
        return;
    }
    list_ = {};
    list_.source = wanted_.model;
    list_.chunk_size = pieces->piece_size;
    list_.total_size = pieces->piece_size * pieces->digests.size();
    for (const auto& digest : pieces->digests) {
        list_.chunks.push_back({digest, static_cast<std::uint32_t>(pieces->piece_size)});
    }
    begin_fetch();
}

void weights_keeper::begin_fetch() {
    if (list_.chunks.empty()) {
        return;
    }
    enter(keeper_step::fetch);
    const std::string version = wanted_.model + ":" + std::to_string(wanted_.version);
    // An engine that may hold the pieces already is asked first: they cost nothing there.
    const bool may_hold_pieces = is_in_force() || engine_.state()->weights_version == 0;
    if (may_hold_pieces && !is_staged_adopted_) {
        is_staged_adopted_ = true;
        swarm_->fetch(version, list_, [] {});
        swarm_->end_fetch();
        adopt_staged(0);
        return;
    }
    if (is_in_force()) {
        enter(keeper_step::done);
        return;
    }
    swarm_->fetch(version, list_, [this, epoch = epoch_] {
        if (epoch != epoch_) {
            return;
        }
        whole_at_ = std::chrono::steady_clock::now();
        log_event(log_level::info, "weights_whole",
                  {{"version", wanted_.version},
                   {"after_ms", elapsed_ms(wanted_.named_at, whole_at_)},
                   {"origin_bytes", swarm_->origin_bytes()}});
        enter(keeper_step::stage);
        stage_next(0);
    });
}

void weights_keeper::adopt_staged(std::size_t piece) {
    if (piece == list_.chunks.size()) {
        log_event(log_level::info, "staged_pieces_adopted",
                  {{"version", wanted_.version},
                   {"pieces", count_held(swarm_->chunks(), list_)},
                   {"of", list_.chunks.size()}});
        begin_fetch();
        return;
    }
    is_busy_ = true;
    fetch_on_control(context_,
                     platform::read_staged_piece(context_.options.backend_server.address,
                                                 wanted_.model, piece),
                     largest_chunk_size, guarded([this, piece](const http_answer& answer) {
                         const bool is_answer =
                             answer.outcome.is_complete && answer.outcome.status == 200;
                         if (is_answer) {
                             swarm_->adopt(piece, answer.body);
                         }
                         adopt_staged(piece + 1);
                     }));
}

void weights_keeper::stage_next(std::size_t piece) {
    if (piece == list_.chunks.size()) {
        enter(keeper_step::verify);
        verify_next(0);
        return;
    }
    const chunk_content content = find_chunk(swarm_->chunks(), list_.chunks[piece].hash);
    is_busy_ = true;
    fetch_on_control(context_,
                     platform::stage_piece(context_.options.backend_server.address, wanted_.model,
                                           piece, *content),
                     largest_chunk_size, guarded([this, piece](const http_answer& answer) {
                         if (!answer.outcome.is_complete || answer.outcome.status >= 300) {
                             log_event(log_level::warning, "piece_not_staged",
                                       {{"piece", piece},
                                        {"status", answer.outcome.status},
                                        {"reason", answer.outcome.message}});
                             next_try_ = std::chrono::steady_clock::now() + pause_after_failure;
                             enter(keeper_step::fetch);
                             context_.control.post_after(
                                 pause_after_failure, [self = shared_from_this(), epoch = epoch_] {
                                     if (epoch == self->epoch_) {
                                         self->begin_fetch();
                                     }
                                 });
                             return;
                         }
                         stage_next(piece + 1);
                     }));
}

void weights_keeper::verify_next(std::size_t piece) {
    if (piece == list_.chunks.size()) {
        verified_at_ = std::chrono::steady_clock::now();
        enter(keeper_step::turn);
        wait_for_turn();
        return;
    }
    is_busy_ = true;
    fetch_on_control(
        context_,
        platform::read_staged_piece(context_.options.backend_server.address, wanted_.model, piece),
        largest_chunk_size,
        guarded([this, piece](const http_answer& answer) { handle_verified(piece, answer); }));
}

void weights_keeper::handle_verified(std::size_t piece, const http_answer& answer) {
    const bool is_sound = answer.outcome.is_complete && answer.outcome.status == 200 &&
                          is_chunk_valid(list_, piece, answer.body);
    if (is_sound) {
        verify_next(piece + 1);
        return;
    }
    log_event(log_level::warning, "staged_piece_bad",
              {{"piece", piece},
               {"status", answer.outcome.status},
               {"bytes", answer.body.size()}});
    const chunk_content content = find_chunk(swarm_->chunks(), list_.chunks[piece].hash);
    is_busy_ = true;
    fetch_on_control(context_,
                     platform::stage_piece(context_.options.backend_server.address, wanted_.model,
                                           piece, *content),
                     largest_chunk_size,
                     guarded([this, piece](const http_answer&) { verify_next(piece); }));
}

void weights_keeper::wait_for_turn() {
    const auto now = std::chrono::steady_clock::now();
    const std::string version = wanted_.model + ":" + std::to_string(wanted_.version);
    std::vector<std::string> instances;
    for (const auto& member : swarm_->members()) {
        instances.push_back(member.instance);
    }
    const bool serves_nothing = engine_.state()->weights_version == 0;
    const load_turn_terms terms{wanted_.named_at,
                                whole_at_,
                                context_.options.node.weights_due - due_margin,
                                usual_drain + load_duration_,
                                turn_of(version, context_.options.instance, instances),
                                std::max<std::size_t>(instances.size(), 1)};
    if (!serves_nothing && now < load_moment(terms)) {
        return;
    }
    if (now - verified_at_ > longest_verified_age) {
        enter(keeper_step::verify);
        verify_next(0);
        return;
    }
    order();
}

void weights_keeper::order() {
    enter(keeper_step::load);
    ordered_at_ = std::chrono::steady_clock::now();
    platform::load_order wanted;
    wanted.model = wanted_.model;
    wanted.version = wanted_.version;
    // Versions increase, so an order of an earlier process that arrives late is refused.
    wanted.fencing = wanted_.version;
    wanted.orders_accepted = engine_.state()->orders_accepted;
    log_event(log_level::info, "load_ordered",
              {{"version", wanted_.version},
               {"after_ms", elapsed_ms(wanted_.named_at, ordered_at_)},
               {"running", engine_.state()->running},
               {"orders", wanted.orders_accepted}});
    is_busy_ = true;
    fetch_on_control(context_,
                     platform::order_load(context_.options.backend_server.address, wanted),
                     largest_list,
                     guarded([this](const http_answer& answer) { take_order_answer(answer); }));
}

void weights_keeper::take_order_answer(const http_answer& answer) {
    const platform::order_outcome outcome = platform::outcome_of_order(answer);
    if (outcome == platform::order_outcome::begun || outcome == platform::order_outcome::in_force ||
        outcome == platform::order_outcome::unknown) {
        return; // watch_load() sees what became of it
    }
    log_event(log_level::warning, "load_refused",
              {{"version", wanted_.version}, {"status", answer.outcome.status}});
    context_.numbers.count("citronseam_loads_failed_total");
    next_try_ = std::chrono::steady_clock::now() + pause_after_failure;
    enter(keeper_step::turn);
}

void weights_keeper::watch_load() {
    const auto now = std::chrono::steady_clock::now();
    if (is_in_force()) {
        log_event(log_level::info, "weights_in_force",
                  {{"version", wanted_.version},
                   {"after_ms", elapsed_ms(wanted_.named_at, now)},
                   {"load_ms", elapsed_ms(ordered_at_, now)}});
        enter(keeper_step::done);
        return;
    }
    const bool is_lost =
        !engine_.state()->is_executing_order && now - ordered_at_ > order_patience;
    if (is_lost) {
        log_event(log_level::warning, "load_lost", {{"version", wanted_.version}});
        enter(keeper_step::verify);
        verify_next(0);
    }
}

} // namespace citronseam
