#include "programs/sidecar/weights_fetcher.h"

#include <algorithm>
#include <array>
#include <utility>

#include "citronseam/process/enum_names.h"
#include "citronseam/process/log.h"
#include "citronseam/version/load_schedule.h"
#include "platform/engine.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<fetch_step>, 4> step_names{{
    {fetch_step::list, "list"},
    {fetch_step::adopt, "adopt"},
    {fetch_step::fetch, "fetch"},
    {fetch_step::done, "done"},
}};

/// Between two requests for a list, doubled with each list: the origin sends them to many sidecars.
constexpr milliseconds min_list_delay{200};
constexpr milliseconds max_list_delay{1600};
/// When the origin was asked so often that the delay has reached this, other sidecars are asked,
/// too.
constexpr milliseconds members_list_delay{800};
/// For the list of a sidecar whose chunk did not match. It holds the chunk, so its list is enough.
constexpr milliseconds member_list_time{500};
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
                                 weights_proof_table& proofs, std::shared_ptr<chunk_swarm> swarm,
                                 complete_handler on_complete)
    : context_(context), engine_(engine), proofs_(proofs), swarm_(std::move(swarm)),
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
    if (step_ != fetch_step::fetch) {
        return step_ == fetch_step::done ? milliseconds(0) : default_fetch_duration;
    }
    const std::size_t held = count_held_chunks(swarm_->version());
    const std::size_t missing = digests_.places.size() - held;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - fetch_started_at_);
    if (held == 0 || elapsed < min_observation) {
        return default_fetch_duration;
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
    digests_ = {};
    digests_.configured = shape_;
    is_mismatched_.clear();
    is_list_outstanding_ = false;
    is_follow_up_ = false;
    proof_ = {};
    is_proof_requested_ = false;
    ++list_epoch_;
    list_retry_at_ = {};
    list_delay_ = {};
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

void weights_fetcher::set_shape(const weights_shape& shape) {
    if (shape == shape_) {
        return;
    }
    shape_ = shape;
    log_event(log_level::info, "weights_shape",
              {{"pieces", shape.chunks}, {"piece_bytes", shape.chunk_bytes}});
    if (target_.version != 0 && step_ != fetch_step::done) {
        start_version(target_);
    }
}

void weights_fetcher::reconcile() {
    const auto now = std::chrono::steady_clock::now();
    start_planned_version(now);
    if (target_.version == 0) {
        return;
    }
    if (is_list_wanted() && !is_list_outstanding_ && now >= list_retry_at_ && !origin_.empty()) {
        request_chunk_list();
    }
    if (step_ == fetch_step::adopt && !is_busy_) {
        read_staged_chunks();
    } else if (step_ == fetch_step::fetch) {
        swarm_->tick();
        log_progress(now);
    }
}

/// @return whether a missing chunk did not match, or its digests are disputed
bool weights_fetcher::is_open(std::size_t chunk) const {
    return !swarm_->version().is_held[chunk] &&
           (is_mismatched_[chunk] || is_disputed(digests_, chunk));
}

bool weights_fetcher::is_list_wanted() const {
    if (step_ == fetch_step::list || step_ == fetch_step::done) {
        return step_ == fetch_step::list;
    }
    for (std::size_t chunk = 0; chunk < is_mismatched_.size(); ++chunk) {
        if (is_open(chunk)) {
            return true;
        }
    }
    return false;
}

void weights_fetcher::log_progress(time_point now) {
    if (now - progress_logged_at_ < progress_interval) {
        return;
    }
    progress_logged_at_ = now;
    log_event(log_level::info, "weights_progress",
              {{"version", target_.version},
               {"pieces", count_held_chunks(swarm_->version())},
               {"of", digests_.places.size()},
               {"members", swarm_->members().size()},
               {"missing", swarm_->describe_missing()},
               {"after_ms", elapsed_ms(target_.announced_at, now)}});
}

void weights_fetcher::request_chunk_list() {
    is_list_outstanding_ = true;
    fetch_on_control(
        context_, platform::make_chunk_list_request(origin_, target_.model, target_.version),
        max_list_bytes,
        [self = shared_from_this(), epoch = list_epoch_](const http_response& response) {
            if (epoch == self->list_epoch_) {
                self->is_list_outstanding_ = false;
                self->handle_chunk_list(response);
            }
        });
}

void weights_fetcher::handle_chunk_list(const http_response& response) {
    const bool is_answered = response.outcome.is_complete && response.outcome.status == 200;
    const auto parsed = is_answered ? platform::parse_chunk_list(response.body)
                                    : result<platform::chunk_list>(failure(
                                          error_code::unavailable, response.outcome.message));
    const bool is_wanted =
        parsed && parsed->version == target_.version && parsed->model == target_.model;
    if (!is_wanted) {
        log_event(log_level::warning, "piece_list_unread",
                  {{"version", target_.version},
                   {"status", response.outcome.status},
                   {"reason", parsed ? "another model or version" : parsed.error().message}});
    }
    const bool needs_second =
        is_wanted &&
        use_list({list_source::origin, parsed->chunk_bytes, parsed->digests, {}}, "origin");
    if (is_answered) {
        schedule_next_list(needs_second);
    } else {
        list_retry_at_ = std::chrono::steady_clock::now() + min_list_delay; // nothing was sent
    }
    if (step_ == fetch_step::list || (is_list_wanted() && list_delay_ >= members_list_delay)) {
        swarm_->request_manifest(swarm_version(target_));
    }
}

/// @param needs_second what the last list states counts only with a second one: it is requested
/// soon, but not after each of many lists that differ
void weights_fetcher::schedule_next_list(bool needs_second) {
    is_follow_up_ = needs_second && !is_follow_up_;
    if (!is_follow_up_) {
        list_delay_ = std::clamp(list_delay_ * 2, min_list_delay, max_list_delay);
    }
    list_retry_at_ =
        std::chrono::steady_clock::now() + (is_follow_up_ ? min_list_delay : list_delay_);
}

void weights_fetcher::handle_member_list(const std::string& version, const digest_list& list,
                                         const std::string& instance) {
    if (version == swarm_version(target_) && step_ != fetch_step::done) {
        use_list(list, instance);
    }
}

void weights_fetcher::handle_mismatch(const std::string& version, std::size_t chunk,
                                      list_source source) {
    if (version != swarm_version(target_) || chunk >= is_mismatched_.size() ||
        is_mismatched_[chunk]) {
        return;
    }
    is_mismatched_[chunk] = true;
    if (source == list_source::member) {
        list_retry_at_ =
            std::max(list_retry_at_, std::chrono::steady_clock::now() + member_list_time);
    }
}

/// @param from the origin or a sidecar, for logs
/// @return whether the list states something of a missing chunk that needs a second statement
bool weights_fetcher::use_list(const digest_list& list, const std::string& from) {
    const list_verdict verdict = add_list(digests_, list);
    const bool is_used = verdict == list_verdict::used;
    log_event(is_used ? log_level::info : log_level::warning, "piece_list",
              {{"version", target_.version},
               {"from", from},
               {"verdict", name(verdict)},
               {"pieces", list.digests.size()},
               {"piece_bytes", list.chunk_bytes},
               {"configured_pieces", shape_.chunks},
               {"configured_piece_bytes", shape_.chunk_bytes},
               {"confirmed", std::count(list.confirmed.begin(), list.confirmed.end(), true)},
               {"disputed", count_disputed(digests_)}});
    context_.metric_registry.count("citronseam_piece_lists_total",
                                   {{"verdict", std::string(name(verdict))}});
    if (!is_used) {
        return verdict == list_verdict::unproven;
    }
    const bool is_first = step_ == fetch_step::list;
    if (is_first) {
        is_mismatched_.assign(digests_.places.size(), false);
        swarm_->prepare(swarm_version(target_), make_manifest(digests_));
    }
    // Once hashes have changed, what is staged may match.
    if (is_first ||
        (swarm_->amend(swarm_version(target_), make_manifest(digests_)) && is_staging_trusted())) {
        set_step(fetch_step::adopt);
        read_staged_chunks();
    }
    for (std::size_t chunk = 0; chunk < is_mismatched_.size(); ++chunk) {
        if (is_open(chunk) && has_open_statement(digests_, chunk)) {
            return true;
        }
    }
    return false;
}

/// An engine that serves the target was loaded from what is staged. That of an engine without
/// weights may be of any version, and match a wrong list.
/// @return whether staged chunks that match are those of the target
bool weights_fetcher::is_staging_trusted() const {
    const auto& state = engine_.state();
    if (!state || state->is_executing_load_order) {
        return false;
    }
    if (state->weights_version == target_.version) {
        return true;
    }
    return state->weights_version == 0 && proof_.version == target_.version &&
           proof_.fingerprint == fingerprint_of(make_manifest(digests_));
}

void weights_fetcher::request_proof() {
    if (is_proof_requested_) {
        return;
    }
    is_proof_requested_ = true;
    proofs_.read(target_.model,
                 [weak = weak_from_this(), epoch = list_epoch_](const weights_proof& proof) {
                     const auto self = weak.lock();
                     if (self == nullptr || epoch != self->list_epoch_) {
                         return;
                     }
                     self->proof_ = proof;
                     log_event(log_level::info, "weights_proof",
                               {{"version", self->target_.version},
                                {"proven", proof.version},
                                {"list", proof.fingerprint},
                                {"own", fingerprint_of(make_manifest(self->digests_))}});
                     if (self->step_ == fetch_step::fetch && self->is_staging_trusted()) {
                         self->set_step(fetch_step::adopt);
                         self->read_staged_chunks();
                     }
                 });
}

/// A few sidecars do it for all.
void weights_fetcher::keep_proof() {
    constexpr std::size_t writers = 2;
    std::vector<std::string> instances;
    for (const swarm_member& process : swarm_->members()) {
        instances.push_back(process.instance);
    }
    const weights_proof own{target_.version, fingerprint_of(swarm_->version().list)};
    if (proof_ != own &&
        load_order_index(swarm_version(target_), context_.options.instance, instances) < writers) {
        proofs_.write(target_.model, own);
    }
}

/// Reading staged chunks needs no network, and this sidecar can then serve them to others.
void weights_fetcher::read_staged_chunks() {
    if (!engine_.state()) {
        return;
    }
    if (!is_staging_trusted()) {
        if (engine_.state()->weights_version == 0) {
            request_proof();
        }
        start_fetch();
        return;
    }
    swarm_->prepare(swarm_version(target_), make_manifest(digests_));
    read_next_staged_chunk(0);
}

void weights_fetcher::read_next_staged_chunk(std::size_t chunk) {
    const std::vector<bool>& is_held = swarm_->version().is_held;
    while (chunk < is_held.size() && is_held[chunk]) {
        ++chunk;
    }
    if (chunk >= is_held.size()) {
        log_event(log_level::info, "staged_pieces_adopted",
                  {{"version", target_.version},
                   {"pieces", count_held_chunks(swarm_->version())},
                   {"of", is_held.size()}});
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
    swarm_->fetch(swarm_version(target_), make_manifest(digests_), [this, epoch = epoch_] {
        if (epoch == epoch_) {
            finish();
        }
    });
}

void weights_fetcher::finish() {
    auto complete = std::make_shared<complete_weights>();
    complete->target = target_;
    complete->list = swarm_->version().list;
    complete->complete_at = std::chrono::steady_clock::now();
    for (std::size_t chunk = 0; chunk < complete->list.chunks.size(); ++chunk) {
        complete->chunks.push_back(held_chunk(swarm_->version(), swarm_->chunks(), chunk));
    }
    log_event(log_level::info, "weights_whole",
              {{"version", target_.version},
               {"after_ms", elapsed_ms(target_.announced_at, complete->complete_at)},
               {"origin_bytes", swarm_->origin_bytes()}});
    set_step(fetch_step::done);
    keep_proof();
    on_complete_(std::move(complete));
}

} // namespace citronseam
