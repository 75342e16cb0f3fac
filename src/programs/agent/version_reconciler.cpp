#include "programs/agent/version_reconciler.h"

#include <algorithm>

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

constexpr milliseconds load_timeout{120000};
/// A drain does not wait longer than this; requests that still run end at their own deadline.
constexpr milliseconds max_drain_time{60000};
/// Interval between attempts to acquire a permit, multiplied by the number of agents of the service
/// so that the rate of store requests does not grow with that number.
constexpr milliseconds permit_retry_interval_per_member{10};
constexpr milliseconds min_permit_retry_interval{200};
constexpr milliseconds failure_retry_interval{1000};
/// Share of an inter-region link that weight transfers may use; the rest is for requests.
constexpr std::uint64_t region_link_share_percent = 90;
constexpr std::uint64_t percent = 100;

} // namespace

version_reconciler::version_reconciler(agent_context& context, std::shared_ptr<chunk_swarm> swarm)
    : context_(context), swarm_(std::move(swarm)),
      zone_permit_(std::make_shared<permit_holder>(context, context.options.availability_zone)),
      service_permit_(std::make_shared<permit_holder>(context, "all")) {}

template<typename Function>
auto version_reconciler::on_control(Function function) {
    return [self = shared_from_this(), function = std::move(function)](auto outcome) {
        self->context_.control.post(
            [self, function, outcome = std::move(outcome)] { function(outcome); });
    };
}

bool version_reconciler::is_current_step(const std::string& version, step expected) const {
    return version == target_version_ && step_ == expected;
}

void version_reconciler::handle_status(const result<engine_status>& status) {
    is_reachable_ = status.has_value();
    if (!status) {
        context_.admission.set_ready(false);
        return;
    }
    const bool is_new_process = status->boot_id != boot_id_;
    const bool is_version_changed = status->version != active_version_;
    if (step_ != step::load && (is_new_process || is_version_changed)) {
        last_external_change_ = std::chrono::steady_clock::now();
    }
    if (is_new_process) {
        boot_id_ = status->boot_id;
        ++context_.backend_incarnation;
        context_.admission.mark_cold(cold_reason::started);
        cancel_update();
    } else if (is_version_changed && step_ != step::load) {
        context_.admission.mark_cold(cold_reason::self_reported);
        cancel_update();
    }
    if (step_ != step::load) {
        active_since_ms_ = is_version_changed ? wall_clock_ms() : active_since_ms_;
        active_version_ = status->version;
        context_.admission.set_ready(!active_version_.empty() && step_ != step::drain);
    }
}

void version_reconciler::reconcile() {
    const control_view view = context_.state_sync.view();
    if (view->accepted == nullptr || !is_reachable_) {
        return;
    }
    const configuration& config = view->accepted->content;
    const service* found = find_service(config, context_.options.backend_server.service);
    if (found == nullptr) {
        return;
    }
    context_.admission.set_bounds({found->limits.cold_concurrency, found->limits.max_concurrency});
    apply_rollout_settings(config, *found);
    if (step_ != step::load && !found->model_version.empty() &&
        found->model_version != target_version_) {
        start_update(found->model_version, view->accepted->generation);
    }
    if (target_version_.empty() || std::chrono::steady_clock::now() < next_attempt_at_) {
        return;
    }
    if (step_ == step::idle && active_version_ != target_version_) {
        fetch_manifest();
    } else if (step_ == step::chunks) {
        swarm_->tick();
    } else if (step_ == step::permit) {
        acquire_permits();
    } else if (step_ == step::drain) {
        drain();
    }
}

void version_reconciler::apply_rollout_settings(const configuration& config,
                                                const service& target) {
    zone_slots_ = target.rollout.max_parallel_reloads_per_zone;
    const std::string_view own_region = region_of(config, context_.options.availability_zone);
    std::uint64_t sender_count = 0;
    for (const auto& member : swarm_->members()) {
        sender_count += member.region == own_region ? 1 : 0;
    }
    std::uint64_t region_link_rate = 0;
    for (const auto& known : config.regions) {
        region_link_rate =
            known.name == own_region ? known.link_bytes_per_second : region_link_rate;
    }
    swarm_rates rates;
    rates.chunk_source = target.rollout.chunk_source;
    rates.same_region_rate = context_.options.peer_link_bytes_per_second > 0
                                 ? context_.options.peer_link_bytes_per_second
                                 : target.rollout.peer_bytes_per_second;
    sender_count = std::clamp<std::uint64_t>(sender_count, 1, senders_per_remote_region);
    rates.remote_region_rate =
        region_link_rate * region_link_share_percent / percent / sender_count;
    rates.origin = target.rollout.origin_bytes_per_second;
    swarm_->set_rates(rates);
}

void version_reconciler::start_update(const std::string& version, std::uint64_t generation) {
    log_event(log_level::info, "version_wanted",
              {{"version", version}, {"generation", generation}, {"in_force", active_version_}});
    cancel_update();
    target_version_ = version;
    manifest_ = {};
    next_attempt_at_ = {};
    context_.admission.set_ready(!active_version_.empty());
}

void version_reconciler::cancel_update() {
    swarm_->stop_fetch();
    zone_permit_->release();
    service_permit_->release();
    step_ = step::idle;
}

void version_reconciler::fetch_manifest() {
    step_ = step::manifest;
    const std::string version = target_version_;
    context_.store.get_object(version, on_control([this, version](const result<std::string>& text) {
                                  handle_manifest(version, text);
                              }));
}

void version_reconciler::handle_manifest(const std::string& version,
                                         const result<std::string>& text) {
    if (!is_current_step(version, step::manifest)) {
        return;
    }
    step_ = step::idle;
    next_attempt_at_ = std::chrono::steady_clock::now() + failure_retry_interval;
    if (!text) {
        return;
    }
    auto parsed = parse_manifest(*text, version);
    if (!parsed || parsed->total_size > context_.options.weight_memory_bytes) {
        const std::string reason = parsed ? "its " + std::to_string(parsed->total_size) +
                                                " bytes do not fit into weight_memory of " +
                                                std::to_string(context_.options.weight_memory_bytes)
                                          : parsed.error().message;
        log_event(log_level::error, "version_refused", {{"version", version}, {"reason", reason}});
        return;
    }
    next_attempt_at_ = {};
    manifest_ = std::move(*parsed);
    manifest_text_ = *text;
    step_ = step::chunks;
    swarm_->fetch(version, manifest_, [this, version] {
        if (is_current_step(version, step::chunks)) {
            step_ = step::upload;
            upload_next_chunk(0);
        }
    });
    swarm_->tick();
}

void version_reconciler::upload_next_chunk(std::size_t index) {
    if (index == manifest_.chunks.size()) {
        log_event(log_level::info, "version_whole", {{"version", target_version_}});
        step_ = step::permit;
        acquire_permits();
        return;
    }
    const std::string version = target_version_;
    const chunk_content content = find_chunk(swarm_->chunks(), manifest_.chunks[index].hash);
    upload_chunk(context_.platform, context_.options.backend_server.address, version, index,
                 *content, on_control([this, version, index](const result<bool>& sent) {
                     if (!is_current_step(version, step::upload)) {
                         return;
                     }
                     if (!sent) {
                         step_ = step::idle;
                         next_attempt_at_ =
                             std::chrono::steady_clock::now() + failure_retry_interval;
                         return;
                     }
                     upload_next_chunk(index + 1);
                 }));
}

bool version_reconciler::has_other_ready_member() const {
    const auto& members = swarm_->members();
    const bool is_alone = members.size() <= 1;
    return is_alone || std::any_of(members.begin(), members.end(), [this](const auto& member) {
               return member.is_ready && member.instance != context_.options.instance;
           });
}

void version_reconciler::acquire_permits() {
    if (active_version_.empty()) {
        start_drain();
        return;
    }
    next_attempt_at_ =
        std::chrono::steady_clock::now() +
        std::max(min_permit_retry_interval,
                 permit_retry_interval_per_member * static_cast<int>(swarm_->members().size()));
    if (!has_other_ready_member()) {
        return;
    }
    const std::string version = target_version_;
    zone_permit_->acquire(zone_slots_, [this, version](bool has_zone_permit) {
        if (!has_zone_permit || !is_current_step(version, step::permit)) {
            zone_permit_->release();
            return;
        }
        const std::uint32_t slots = max_concurrent_reloads(swarm_->members().size());
        service_permit_->acquire(slots, [this, version](bool has_service_permit) {
            if (!has_service_permit || !is_current_step(version, step::permit)) {
                service_permit_->release();
                zone_permit_->release();
                return;
            }
            start_drain();
        });
    });
}

void version_reconciler::start_drain() {
    next_attempt_at_ = {};
    step_ = step::drain;
    step_started_at_ = std::chrono::steady_clock::now();
    log_event(log_level::info, "version_drain", {{"version", target_version_}});
    context_.admission.set_ready(false);
    drain();
}

void version_reconciler::drain() {
    const bool is_drain_expired =
        std::chrono::steady_clock::now() - step_started_at_ > max_drain_time;
    if (context_.admission.running() == 0 || is_drain_expired) {
        start_load();
    }
}

void version_reconciler::start_load() {
    step_ = step::load;
    const std::string version = target_version_;
    if (active_version_.empty()) {
        verify_engine_state(version);
        return;
    }
    // The process may have been paused since it acquired its permits.
    zone_permit_->verify([this, version](bool has_zone_permit) {
        service_permit_->verify([this, version, has_zone_permit](bool has_service_permit) {
            if (has_zone_permit && has_service_permit) {
                verify_engine_state(version);
                return;
            }
            handle_load_result(version, failure(error_code::precondition_failed,
                                                "the permit to reload could not be verified"));
        });
    });
}

std::string version_reconciler::load_refusal_reason(const std::string& version) const {
    const control_view view = context_.state_sync.view();
    const time_point now = std::chrono::steady_clock::now();
    // An engine without a version may be loaded on old evidence, unless the configured policy is to
    // refuse requests then.
    const bool has_evidence = active_version_.empty() ? !must_refuse_for_stale_evidence(*view, now)
                                                      : has_recent_evidence(*view, now) &&
                                                            view->evidence > last_external_change_;
    const std::string generation = "generation " + std::to_string(accepted_generation(*view));
    if (!has_evidence) {
        return "no sufficiently recent evidence that " + generation + " is still the latest";
    }
    const service* found =
        find_service(view->accepted->content, context_.options.backend_server.service);
    if (found == nullptr || found->model_version != version) {
        return generation + " selects another version";
    }
    return "";
}

void version_reconciler::verify_engine_state(const std::string& version) {
    fetch_status(context_.platform, context_.options.backend_server.address,
                 on_control([this, version](const result<engine_status>& status) {
                     const bool is_unchanged = status && status->version == active_version_ &&
                                               status->boot_id == boot_id_ && !status->is_loading;
                     if (is_unchanged) {
                         send_load_request(version);
                         return;
                     }
                     handle_load_result(
                         version,
                         failure(error_code::precondition_failed,
                                 "the engine does not respond, or changed since its last status"));
                 }));
}

void version_reconciler::send_load_request(const std::string& version) {
    // The drain and the store may have taken long, for example because the process was paused. A
    // load request must not be older than one that another agent of this engine may have sent.
    const std::string reason = load_refusal_reason(version);
    if (!reason.empty()) {
        handle_load_result(version, failure(error_code::precondition_failed, reason));
        return;
    }
    const load_request body{version, manifest_text_,
                            accepted_generation(*context_.state_sync.view())};
    request_load(context_.platform, context_.options.backend_server.address, body, load_timeout,
                 on_control([this, version](const result<bool>& outcome) {
                     handle_load_result(version, outcome);
                 }));
}

void version_reconciler::handle_load_result(const std::string& version,
                                            const result<bool>& outcome) {
    cancel_update();
    if (!outcome) {
        context_.process_metrics.count("citronseam_loads_failed_total");
        log_event(log_level::error, "load_failed",
                  {{"version", version}, {"reason", outcome.error().message}});
        next_attempt_at_ = std::chrono::steady_clock::now() + failure_retry_interval;
        context_.admission.set_ready(!active_version_.empty());
        return;
    }
    active_version_ = version;
    active_since_ms_ = wall_clock_ms();
    log_event(log_level::info, "version_in_force", {{"version", version}});
    context_.admission.mark_cold(cold_reason::reloaded);
    context_.admission.set_ready(true);
}

version_progress version_reconciler::progress() const {
    version_progress report;
    report.active_version = active_version_;
    report.active_since_ms = active_since_ms_;
    report.target_version = target_version_;
    report.chunks_total = static_cast<std::uint32_t>(manifest_.chunks.size());
    report.chunks_held = count_held_chunks(swarm_->chunks(), manifest_);
    report.origin_bytes = swarm_->origin_bytes();
    return report;
}

} // namespace citronseam
