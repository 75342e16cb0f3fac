#include "programs/sidecar/weights_fetcher.h"

#include <array>
#include <utility>

#include "citronseam/process/enum_names.h"
#include "citronseam/process/log.h"
#include "platform/engine.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<fetch_step>, 4> step_names{{
    {fetch_step::list, "list"},
    {fetch_step::adopt, "adopt"},
    {fetch_step::fetch, "fetch"},
    {fetch_step::done, "done"},
}};

constexpr milliseconds pause_after_failure{200};
constexpr milliseconds progress_interval{500};
constexpr std::size_t largest_list = mebibyte;
/// A version that needs longer than this is left for a newer one, which then still comes in time.
constexpr milliseconds longest_finish{3000};
/// Time of a whole fetch on a link that live requests share, where none was observed yet.
constexpr milliseconds usual_fetch{4000};
constexpr milliseconds shortest_observation{500};

} // namespace

std::string_view name(fetch_step step) noexcept {
    return find_name(step_names, step);
}

weights_fetcher::weights_fetcher(sidecar_context& context, engine_watch& engine,
                                 std::shared_ptr<chunk_swarm> swarm, whole_handler on_whole)
    : context_(context), engine_(engine), swarm_(std::move(swarm)), on_whole_(std::move(on_whole)) {
}

template<typename Function>
auto weights_fetcher::guarded(Function function) {
    return [self = shared_from_this(), epoch = epoch_,
            function = std::move(function)](const http_answer& answer) {
        if (epoch == self->epoch_) {
            self->is_busy_ = false;
            function(answer);
        }
    };
}

void weights_fetcher::set_wanted(const wanted_weights& wanted) {
    if (wanted.model == newest().model && wanted.version <= newest().version) {
        return;
    }
    next_ = wanted;
    reconcile();
}

/// A version that will be whole soon is finished before a newer one begins: it is due earlier, its
/// pieces are on their way, and the origin may fail before the newer ones are here.
bool weights_fetcher::must_finish_first() const {
    const auto now = std::chrono::steady_clock::now();
    const bool is_over = now - wanted_.named_at > context_.options.node.weights_due;
    return !is_over && step_ == fetch_step::fetch && remaining(now) <= longest_finish;
}

milliseconds weights_fetcher::remaining(time_point now) const {
    const std::size_t held = count_held(swarm_->chunks(), list_);
    const std::size_t missing = list_.chunks.size() - held;
    const auto passed = std::chrono::duration_cast<milliseconds>(now - fetch_began_at_);
    if (step_ == fetch_step::done || held == 0 || passed < shortest_observation) {
        return step_ == fetch_step::done ? milliseconds(0) : usual_fetch;
    }
    return passed * static_cast<std::int64_t>(missing) / static_cast<std::int64_t>(held);
}

milliseconds weights_fetcher::newest_remaining() const {
    return next_ ? usual_fetch : remaining(std::chrono::steady_clock::now());
}

void weights_fetcher::begin(const wanted_weights& wanted) {
    log_event(log_level::info, "weights_wanted",
              {{"model", wanted.model},
               {"version", wanted.version},
               {"before", wanted_.version},
               {"step", name(step_)}});
    wanted_ = wanted;
    list_ = {};
    next_try_ = {};
    enter(fetch_step::list);
}

void weights_fetcher::enter(fetch_step step) {
    step_ = step;
    is_busy_ = false;
    ++epoch_;
}

http_request weights_fetcher::make_draw(std::size_t piece) const {
    return platform::read_piece(origin_, wanted_.model, wanted_.version, piece);
}

void weights_fetcher::reconcile() {
    const auto now = std::chrono::steady_clock::now();
    if (next_ && !must_finish_first()) {
        begin(*std::exchange(next_, std::nullopt));
    }
    if (wanted_.version == 0 || is_busy_ || now < next_try_) {
        return;
    }
    if (step_ == fetch_step::list && !origin_.empty()) {
        read_list();
    } else if (step_ == fetch_step::adopt) {
        begin_adopting();
    } else if (step_ == fetch_step::fetch) {
        swarm_->tick();
        note_progress(now);
    }
}

void weights_fetcher::note_progress(time_point now) {
    if (now - progress_noted_at_ < progress_interval) {
        return;
    }
    progress_noted_at_ = now;
    log_event(log_level::info, "weights_progress",
              {{"version", wanted_.version},
               {"pieces", count_held(swarm_->chunks(), list_)},
               {"of", list_.chunks.size()},
               {"members", swarm_->members().size()},
               {"missing", swarm_->describe_missing()},
               {"after_ms", elapsed_ms(wanted_.named_at, now)}});
}

void weights_fetcher::read_list() {
    is_busy_ = true;
    fetch_on_control(context_, platform::read_piece_list(origin_, wanted_.model, wanted_.version),
                     largest_list,
                     guarded([this](const http_answer& answer) { take_list(answer); }));
}

void weights_fetcher::take_list(const http_answer& answer) {
    const auto pieces = answer.outcome.is_complete && answer.outcome.status == 200
                            ? platform::parse_piece_list(answer.body)
                            : result<platform::piece_list>(
                                  failure(error_code::unavailable, answer.outcome.message));
    if (step_ != fetch_step::list) {
        return;
    }
    if (!pieces || pieces->version != wanted_.version) {
        swarm_->ask_list(swarm_version(wanted_));
        log_event(log_level::warning, "piece_list_unread",
                  {{"version", wanted_.version},
                   {"status", answer.outcome.status},
                   {"reason", pieces ? "another version" : pieces.error().message}});
        next_try_ = std::chrono::steady_clock::now() + pause_after_failure;
        return;
    }
    manifest list;
    list.chunk_size = pieces->piece_size;
    list.total_size = pieces->piece_size * pieces->digests.size();
    for (const auto& digest : pieces->digests) {
        list.chunks.push_back({digest, static_cast<std::uint32_t>(pieces->piece_size)});
    }
    set_list(std::move(list));
}

void weights_fetcher::take_list_of_member(const std::string& version, const manifest& list) {
    if (step_ == fetch_step::list && version == swarm_version(wanted_) && !list.chunks.empty()) {
        log_event(log_level::info, "piece_list_from_member", {{"version", wanted_.version}});
        set_list(list);
    }
}

void weights_fetcher::set_list(manifest list) {
    list_ = std::move(list);
    list_.source = wanted_.model;
    enter(fetch_step::adopt);
    begin_adopting();
}

/// An engine that holds these weights, or that lost them in a restart, may have their pieces: they
/// cost nothing there, and other sidecars can have them from here.
void weights_fetcher::begin_adopting() {
    if (!engine_.state()) {
        return;
    }
    const std::uint64_t held = engine_.state()->weights_version;
    if (held != 0 && held < wanted_.version) {
        begin_fetch();
        return;
    }
    swarm_->prepare(swarm_version(wanted_), list_);
    adopt_next(0);
}

void weights_fetcher::adopt_next(std::size_t piece) {
    if (piece == list_.chunks.size()) {
        log_event(log_level::info, "staged_pieces_adopted",
                  {{"version", wanted_.version},
                   {"pieces", count_held(swarm_->chunks(), list_)},
                   {"of", list_.chunks.size()}});
        begin_fetch();
        return;
    }
    is_busy_ = true;
    fetch_on_control(
        context_,
        platform::read_staged_piece(context_.options.backend_server.address, wanted_.model, piece),
        largest_chunk_size, guarded([this, piece](const http_answer& answer) {
            if (answer.outcome.is_complete && answer.outcome.status == 200) {
                swarm_->adopt(piece, answer.body);
            }
            adopt_next(piece + 1);
        }));
}

void weights_fetcher::begin_fetch() {
    enter(fetch_step::fetch);
    fetch_began_at_ = std::chrono::steady_clock::now();
    swarm_->fetch(swarm_version(wanted_), list_, [this, epoch = epoch_] {
        if (epoch == epoch_) {
            finish();
        }
    });
}

void weights_fetcher::finish() {
    auto whole = std::make_shared<whole_weights>();
    whole->wanted = wanted_;
    whole->list = list_;
    whole->whole_at = std::chrono::steady_clock::now();
    for (const auto& piece : list_.chunks) {
        whole->pieces.push_back(find_chunk(swarm_->chunks(), piece.hash));
    }
    log_event(log_level::info, "weights_whole",
              {{"version", wanted_.version},
               {"after_ms", elapsed_ms(wanted_.named_at, whole->whole_at)},
               {"origin_bytes", swarm_->origin_bytes()}});
    enter(fetch_step::done);
    on_whole_(std::move(whole));
}

} // namespace citronseam
