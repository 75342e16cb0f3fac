#include "programs/agent/version_reconciler.h"

#include <algorithm>

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

constexpr milliseconds load_timeout{120000};
/// Requests that run longer than this are not waited for: they end at their own deadline.
constexpr milliseconds longest_drain{60000};
/// Time between tries for a permit, for each agent of the service: together they ask the store no
/// more often, however many they are.
constexpr milliseconds permit_pause_per_member{10};
constexpr milliseconds shortest_permit_pause{200};
constexpr milliseconds pause_after_failure{1000};
/// Share of a link between regions that weights may take; live requests have the rest.
constexpr std::uint64_t region_share_percent = 90;
constexpr std::uint64_t percent = 100;

} // namespace

version_keeper::version_keeper(agent_context& context, std::shared_ptr<chunk_swarm> swarm)
    : context_(context), swarm_(std::move(swarm)),
      zone_permit_(std::make_shared<permit_holder>(context, context.options.availability_zone)),
      service_permit_(std::make_shared<permit_holder>(context, "all")) {}

template<typename Function>
auto version_keeper::on_control(Function function) {
    return [self = shared_from_this(), function = std::move(function)](auto answer) {
        self->context_.control.post(
            [self, function, answer = std::move(answer)] { function(answer); });
    };
}

bool version_keeper::is_current(const std::string& version, step expected) const {
    return version == wanted_ && step_ == expected;
}

void version_keeper::take_status(const result<engine_status>& status) {
    is_reachable_ = status.has_value();
    if (!status) {
        context_.gate.set_ready(false);
        return;
    }
    const bool is_new_process = status->boot != boot_;
    const bool is_other_version = status->version != in_force_;
    if (step_ != step::load && (is_new_process || is_other_version)) {
        changed_by_other_ = std::chrono::steady_clock::now();
    }
    if (is_new_process) {
        boot_ = status->boot;
        ++context_.backend_life;
        context_.gate.turn_cold(cold_sign::started);
        abandon();
    } else if (is_other_version && step_ != step::load) {
        context_.gate.turn_cold(cold_sign::said_so);
        abandon();
    }
    if (step_ != step::load) {
        in_force_since_ms_ = is_other_version ? wall_clock_ms() : in_force_since_ms_;
        in_force_ = status->version;
        context_.gate.set_ready(!in_force_.empty() && step_ != step::drain);
    }
}

void version_keeper::reconcile() {
    const control_view view = context_.hub.view();
    if (view->accepted == nullptr || !is_reachable_) {
        return;
    }
    const configuration& config = view->accepted->content;
    const service* found = find_service(config, context_.options.backend_server.service);
    if (found == nullptr) {
        return;
    }
    context_.gate.set_bounds({found->limits.cold_concurrency, found->limits.max_concurrency});
    take_rollout(config, *found);
    if (step_ != step::load && !found->model_version.empty() && found->model_version != wanted_) {
        begin(found->model_version, view->accepted->generation);
    }
    if (wanted_.empty() || std::chrono::steady_clock::now() < next_try_) {
        return;
    }
    if (step_ == step::idle && in_force_ != wanted_) {
        fetch_manifest();
    } else if (step_ == step::chunks) {
        swarm_->tick();
    } else if (step_ == step::permit) {
        ask_permits();
    } else if (step_ == step::drain) {
        drain();
    }
}

void version_keeper::take_rollout(const configuration& config, const service& wanted) {
    zone_slots_ = wanted.rollout.parallel_per_zone;
    const std::string_view own = region_of(config, context_.options.availability_zone);
    std::uint64_t senders = 0;
    for (const auto& member : swarm_->members()) {
        senders += member.region == own ? 1 : 0;
    }
    std::uint64_t link = 0;
    for (const auto& known : config.regions) {
        link = known.name == own ? known.link_rate : link;
    }
    swarm_rates rates;
    rates.spread = wanted.rollout.spread;
    rates.own_link =
        context_.options.peer_link > 0 ? context_.options.peer_link : wanted.rollout.peer_rate;
    senders = std::clamp<std::uint64_t>(senders, 1, senders_per_link);
    rates.region_link = link * region_share_percent / percent / senders;
    rates.origin = wanted.rollout.origin_rate;
    swarm_->set_rates(rates);
}

void version_keeper::begin(const std::string& version, std::uint64_t generation) {
    log_event(log_level::info, "version_wanted",
              {{"version", version}, {"generation", generation}, {"in_force", in_force_}});
    abandon();
    wanted_ = version;
    manifest_ = {};
    next_try_ = {};
    context_.gate.set_ready(!in_force_.empty());
}

void version_keeper::abandon() {
    swarm_->end_fetch();
    zone_permit_->give_back();
    service_permit_->give_back();
    step_ = step::idle;
}

void version_keeper::fetch_manifest() {
    step_ = step::manifest;
    const std::string version = wanted_;
    context_.store.get_object(version, on_control([this, version](const result<std::string>& text) {
                                  take_manifest(version, text);
                              }));
}

void version_keeper::take_manifest(const std::string& version, const result<std::string>& text) {
    if (!is_current(version, step::manifest)) {
        return;
    }
    step_ = step::idle;
    next_try_ = std::chrono::steady_clock::now() + pause_after_failure;
    if (!text) {
        return;
    }
    auto parsed = parse_manifest(*text, version);
    if (!parsed || parsed->total_size > context_.options.weight_memory) {
        const std::string reason = parsed ? "its " + std::to_string(parsed->total_size) +
                                                " bytes do not fit into weight_memory of " +
                                                std::to_string(context_.options.weight_memory)
                                          : parsed.error().message;
        log_event(log_level::error, "version_refused", {{"version", version}, {"reason", reason}});
        return;
    }
    next_try_ = {};
    manifest_ = std::move(*parsed);
    manifest_text_ = *text;
    step_ = step::chunks;
    swarm_->fetch(version, manifest_, [this, version] {
        if (is_current(version, step::chunks)) {
            step_ = step::hand_over;
            hand_over_next(0);
        }
    });
    swarm_->tick();
}

void version_keeper::hand_over_next(std::size_t index) {
    if (index == manifest_.chunks.size()) {
        log_event(log_level::info, "version_whole", {{"version", wanted_}});
        step_ = step::permit;
        ask_permits();
        return;
    }
    const std::string version = wanted_;
    const chunk_content content = find_chunk(swarm_->chunks(), manifest_.chunks[index].hash);
    send_chunk(context_.platform, context_.options.backend_server.address, version, index, *content,
               on_control([this, version, index](const result<bool>& sent) {
                   if (!is_current(version, step::hand_over)) {
                       return;
                   }
                   if (!sent) {
                       step_ = step::idle;
                       next_try_ = std::chrono::steady_clock::now() + pause_after_failure;
                       return;
                   }
                   hand_over_next(index + 1);
               }));
}

bool version_keeper::is_other_ready() const {
    const auto& members = swarm_->members();
    const bool is_alone = members.size() <= 1;
    return is_alone || std::any_of(members.begin(), members.end(), [this](const auto& member) {
               return member.is_ready && member.instance != context_.options.instance;
           });
}

void version_keeper::ask_permits() {
    if (in_force_.empty()) {
        begin_drain();
        return;
    }
    next_try_ = std::chrono::steady_clock::now() +
                std::max(shortest_permit_pause,
                         permit_pause_per_member * static_cast<int>(swarm_->members().size()));
    if (!is_other_ready()) {
        return;
    }
    const std::string version = wanted_;
    zone_permit_->acquire(zone_slots_, [this, version](bool has_zone) {
        if (!has_zone || !is_current(version, step::permit)) {
            zone_permit_->give_back();
            return;
        }
        const std::uint32_t slots = service_slots(swarm_->members().size());
        service_permit_->acquire(slots, [this, version](bool has_service) {
            if (!has_service || !is_current(version, step::permit)) {
                service_permit_->give_back();
                zone_permit_->give_back();
                return;
            }
            begin_drain();
        });
    });
}

void version_keeper::begin_drain() {
    next_try_ = {};
    step_ = step::drain;
    step_began_ = std::chrono::steady_clock::now();
    context_.gate.set_ready(false);
    drain();
}

void version_keeper::drain() {
    const bool is_over = std::chrono::steady_clock::now() - step_began_ > longest_drain;
    if (context_.gate.running() == 0 || is_over) {
        load();
    }
}

void version_keeper::load() {
    step_ = step::load;
    const std::string version = wanted_;
    if (in_force_.empty()) {
        check_engine(version);
        return;
    }
    // The process may have been paused since it got its permits.
    zone_permit_->confirm([this, version](bool has_zone) {
        service_permit_->confirm([this, version, has_zone](bool has_service) {
            if (has_zone && has_service) {
                check_engine(version);
                return;
            }
            handle_loaded(version, failure(error_code::precondition_failed,
                                           "the permit to reload could not be confirmed"));
        });
    });
}

std::string version_keeper::reason_not_to_order(const std::string& version) const {
    const control_view view = context_.hub.view();
    const time_point now = std::chrono::steady_clock::now();
    // An engine that serves nothing may be loaded without contact when operators chose to serve on.
    const bool is_proved =
        in_force_.empty() ? !is_evidence_stale(*view, now)
                          : has_recent_evidence(*view, now) && view->evidence > changed_by_other_;
    const std::string generation = "generation " + std::to_string(generation_of(*view));
    if (!is_proved) {
        return "there is no evidence that " + generation + " is still the newest";
    }
    const service* found =
        find_service(view->accepted->content, context_.options.backend_server.service);
    if (found == nullptr || found->model_version != version) {
        return generation + " asks for another version";
    }
    return "";
}

void version_keeper::check_engine(const std::string& version) {
    ask_status(context_.platform, context_.options.backend_server.address,
               on_control([this, version](const result<engine_status>& status) {
                   const bool is_as_known = status && status->version == in_force_ &&
                                            status->boot == boot_ && !status->is_loading;
                   if (is_as_known) {
                       order(version);
                       return;
                   }
                   handle_loaded(version, failure(error_code::precondition_failed,
                                                  "the engine is not as it was last seen"));
               }));
}

void version_keeper::order(const std::string& version) {
    // Waiting for requests to end and for the store took time, perhaps because the process was
    // paused: an order must not be older than what another agent of this engine may have ordered.
    const std::string reason = reason_not_to_order(version);
    if (!reason.empty()) {
        handle_loaded(version, failure(error_code::precondition_failed, reason));
        return;
    }
    const load_order wanted{version, manifest_text_, generation_of(*context_.hub.view())};
    order_load(context_.platform, context_.options.backend_server.address, wanted, load_timeout,
               on_control([this, version](const result<bool>& outcome) {
                   handle_loaded(version, outcome);
               }));
}

void version_keeper::handle_loaded(const std::string& version, const result<bool>& outcome) {
    abandon();
    if (!outcome) {
        context_.numbers.count("citronseam_loads_failed_total");
        log_event(log_level::error, "load_failed",
                  {{"version", version}, {"reason", outcome.error().message}});
        next_try_ = std::chrono::steady_clock::now() + pause_after_failure;
        context_.gate.set_ready(!in_force_.empty());
        return;
    }
    in_force_ = version;
    in_force_since_ms_ = wall_clock_ms();
    log_event(log_level::info, "version_in_force", {{"version", version}});
    context_.gate.turn_cold(cold_sign::reloaded);
    context_.gate.set_ready(true);
}

version_progress version_keeper::progress() const {
    version_progress report;
    report.in_force = in_force_;
    report.in_force_since_ms = in_force_since_ms_;
    report.wanted = wanted_;
    report.total = static_cast<std::uint32_t>(manifest_.chunks.size());
    report.held = count_held(swarm_->chunks(), manifest_);
    report.origin_bytes = swarm_->origin_bytes();
    return report;
}

} // namespace citronseam
