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

constexpr milliseconds retry_delay{200};
constexpr milliseconds progress_interval{500};
constexpr std::size_t max_list_bytes = mebibyte;
/// Estimated duration of a fetch on a link shared with live requests, until one was observed.
constexpr milliseconds default_fetch_duration{4000};
/// Estimated time from a complete fetch until the engine serves the version.
constexpr milliseconds load_duration{1000};
constexpr milliseconds min_observation{500};

} // namespace

std::string_view name(fetch_step step) noexcept {
    return find_name(step_names, step);
}

weights_fetcher::weights_fetcher(sidecar_context& context, engine_monitor& engine,
                                 std::shared_ptr<chunk_swarm> swarm, complete_handler on_complete)
    : context_(context), engine_(engine), swarm_(std::move(swarm)),
      on_complete_(std::move(on_complete)) {}

template<typename Function>
auto weights_fetcher::make_step_handler(Function function) {
    return [self = shared_from_this(), epoch = epoch_,
            function = std::move(function)](const http_response& response) {
        if (epoch == self->epoch_) {
            self->is_busy_ = false;
            function(response);
        }
    };
}

void weights_fetcher::set_target(const target_weights& target) {
    const bool is_same_model = target.model == newest_.model;
    if (is_same_model && target.version <= newest_.version) {
        return;
    }
    if (!is_same_model) {
        plan_.clear();
    }
    newest_ = target;
    add_to_plan(
        plan_, target.version, target.announced_at,
        {context_.options.node.weights_switch_deadline, default_fetch_duration, load_duration});
    reconcile();
}

void weights_fetcher::set_announced_at(const target_weights& target) {
    for (target_weights* known : {&newest_, &target_}) {
        if (known->model == target.model && known->version == target.version) {
            known->announced_at = target.announced_at;
        }
    }
    if (newest_.model == target.model) {
        correct_plan(plan_, target.version, target.announced_at);
    }
}

/// Starts the version that the plan lists for now, unless it is the current one.
void weights_fetcher::start_planned_version(time_point now) {
    const bool is_same_model = target_.model == newest_.model;
    // A version that was completed or left is not started again.
    const std::uint64_t minimum =
        is_same_model ? target_.version + (step_ == fetch_step::done ? 1 : 0) : 0;
    const planned_fetch* planned = find_current_fetch(plan_, minimum, now);
    if (planned != nullptr && (!is_same_model || planned->version != target_.version)) {
        start_version({newest_.model, planned->version, planned->announced_at});
    }
}

milliseconds weights_fetcher::remaining_time(time_point now) const {
    const std::size_t held = count_held_chunks(swarm_->chunks(), manifest_);
    const std::size_t missing = manifest_.chunks.size() - held;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - fetch_started_at_);
    if (step_ == fetch_step::done || held == 0 || elapsed < min_observation) {
        return step_ == fetch_step::done ? milliseconds(0) : default_fetch_duration;
    }
    return elapsed * static_cast<std::int64_t>(missing) / static_cast<std::int64_t>(held);
}

milliseconds weights_fetcher::newest_remaining_time() const {
    return newest_.version != target_.version ? default_fetch_duration
                                              : remaining_time(std::chrono::steady_clock::now());
}

void weights_fetcher::start_version(const target_weights& target) {
    log_event(log_level::info, "weights_wanted",
              {{"model", target.model},
               {"version", target.version},
               {"before", target_.version},
               {"step", name(step_)}});
    target_ = target;
    manifest_ = {};
    retry_at_ = {};
    set_step(fetch_step::list);
}

void weights_fetcher::set_step(fetch_step step) {
    step_ = step;
    is_busy_ = false;
    ++epoch_;
}

http_request weights_fetcher::make_origin_request(std::size_t chunk) const {
    return platform::make_chunk_request(origin_, target_.model, target_.version, chunk);
}

void weights_fetcher::reconcile() {
    const auto now = std::chrono::steady_clock::now();
    start_planned_version(now);
    if (target_.version == 0 || is_busy_ || now < retry_at_) {
        return;
    }
    if (step_ == fetch_step::list && !origin_.empty()) {
        request_chunk_list();
    } else if (step_ == fetch_step::adopt) {
        read_staged_chunks();
    } else if (step_ == fetch_step::fetch) {
        swarm_->tick();
        log_progress(now);
    }
}

void weights_fetcher::log_progress(time_point now) {
    if (now - progress_logged_at_ < progress_interval) {
        return;
    }
    progress_logged_at_ = now;
    log_event(log_level::info, "weights_progress",
              {{"version", target_.version},
               {"pieces", count_held_chunks(swarm_->chunks(), manifest_)},
               {"of", manifest_.chunks.size()},
               {"members", swarm_->members().size()},
               {"missing", swarm_->describe_missing()},
               {"after_ms", elapsed_ms(target_.announced_at, now)}});
}

void weights_fetcher::request_chunk_list() {
    is_busy_ = true;
    fetch_on_control(
        context_, platform::make_chunk_list_request(origin_, target_.model, target_.version),
        max_list_bytes,
        make_step_handler([this](const http_response& response) { handle_chunk_list(response); }));
}

void weights_fetcher::handle_chunk_list(const http_response& response) {
    const auto parsed = response.outcome.is_complete && response.outcome.status == 200
                            ? platform::parse_chunk_list(response.body)
                            : result<platform::chunk_list>(
                                  failure(error_code::unavailable, response.outcome.message));
    if (step_ != fetch_step::list) {
        return;
    }
    const bool is_wanted =
        parsed && parsed->version == target_.version && parsed->model == target_.model;
    if (!is_wanted) {
        swarm_->request_manifest(swarm_version(target_));
        log_event(log_level::warning, "piece_list_unread",
                  {{"version", target_.version},
                   {"status", response.outcome.status},
                   {"reason", parsed ? "another model or version" : parsed.error().message}});
        retry_at_ = std::chrono::steady_clock::now() + retry_delay;
        return;
    }
    manifest list;
    list.chunk_size = parsed->chunk_bytes;
    list.total_size = parsed->chunk_bytes * parsed->digests.size();
    for (const auto& digest : parsed->digests) {
        list.chunks.push_back({digest, static_cast<std::uint32_t>(parsed->chunk_bytes)});
    }
    set_manifest(std::move(list));
}

void weights_fetcher::handle_peer_manifest(const std::string& version, const manifest& list) {
    if (step_ == fetch_step::list && version == swarm_version(target_) && !list.chunks.empty()) {
        log_event(log_level::info, "piece_list_from_member", {{"version", target_.version}});
        set_manifest(list);
    }
}

void weights_fetcher::set_manifest(manifest list) {
    manifest_ = std::move(list);
    manifest_.source = target_.model;
    set_step(fetch_step::adopt);
    read_staged_chunks();
}

/// An engine that has loaded these weights, or that lost them by a restart, may still have their
/// chunks staged. Reading them needs no network, and this sidecar can then serve them to others.
void weights_fetcher::read_staged_chunks() {
    if (!engine_.state()) {
        return;
    }
    const std::uint64_t held = engine_.state()->weights_version;
    if (held != 0 && held < target_.version) {
        start_fetch();
        return;
    }
    swarm_->prepare(swarm_version(target_), manifest_);
    read_next_staged_chunk(0);
}

void weights_fetcher::read_next_staged_chunk(std::size_t chunk) {
    if (chunk == manifest_.chunks.size()) {
        log_event(log_level::info, "staged_pieces_adopted",
                  {{"version", target_.version},
                   {"pieces", count_held_chunks(swarm_->chunks(), manifest_)},
                   {"of", manifest_.chunks.size()}});
        start_fetch();
        return;
    }
    is_busy_ = true;
    fetch_on_control(context_,
                     platform::make_staged_chunk_request(context_.options.backend_server.address,
                                                         target_.model, chunk),
                     max_chunk_size,
                     make_step_handler([this, chunk](const http_response& response) {
                         if (response.outcome.is_complete && response.outcome.status == 200) {
                             swarm_->add_local_chunk(chunk, response.body);
                         }
                         read_next_staged_chunk(chunk + 1);
                     }));
}

void weights_fetcher::start_fetch() {
    set_step(fetch_step::fetch);
    fetch_started_at_ = std::chrono::steady_clock::now();
    swarm_->fetch(swarm_version(target_), manifest_, [this, epoch = epoch_] {
        if (epoch == epoch_) {
            finish();
        }
    });
}

void weights_fetcher::finish() {
    auto complete = std::make_shared<complete_weights>();
    complete->target = target_;
    complete->list = manifest_;
    complete->complete_at = std::chrono::steady_clock::now();
    for (const auto& chunk : manifest_.chunks) {
        complete->chunks.push_back(find_chunk(swarm_->chunks(), chunk.hash));
    }
    log_event(log_level::info, "weights_whole",
              {{"version", target_.version},
               {"after_ms", elapsed_ms(target_.announced_at, complete->complete_at)},
               {"origin_bytes", swarm_->origin_bytes()}});
    set_step(fetch_step::done);
    on_complete_(std::move(complete));
}

} // namespace citronseam
