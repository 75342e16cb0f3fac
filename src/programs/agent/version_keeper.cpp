#include "programs/agent/version_keeper.h"

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

constexpr std::size_t parallel_fetches = 4;
constexpr milliseconds chunk_timeout{10000};
constexpr milliseconds load_timeout{120000};
constexpr milliseconds longest_drain{60000};

} // namespace

version_keeper::version_keeper(agent_context& context) : context_(context) {
    chunks_.limit = context.options.weight_memory;
}

template<typename Function>
auto version_keeper::on_control(Function function) {
    return [self = shared_from_this(), function = std::move(function)](auto answer) mutable {
        self->context_.control.post(
            [self, function = std::move(function), answer = std::move(answer)]() mutable {
                function(std::move(answer));
            });
    };
}

bool version_keeper::is_current(const std::string& version) const {
    return version == wanted_;
}

void version_keeper::take_status(const result<engine_status>& status) {
    is_reachable_ = status.has_value();
    if (!status) {
        context_.gate.set_ready(false);
        return;
    }
    if (status->boot != boot_) {
        boot_ = status->boot;
        ++context_.backend_life;
        context_.gate.turn_cold(cold_sign::started);
        step_ = step::idle;
    } else if (!status->is_warm && !context_.gate.is_cold() && status->version != in_force_) {
        context_.gate.turn_cold(cold_sign::said_so);
    }
    in_force_ = status->version;
    context_.gate.set_ready(!in_force_.empty() && !is_draining_);
}

void version_keeper::reconcile() {
    const control_view view = context_.hub.view();
    if (view->accepted == nullptr || !is_reachable_) {
        return;
    }
    const service* found =
        find_service(view->accepted->content, context_.options.backend_server.service);
    if (found == nullptr) {
        return;
    }
    context_.gate.set_bounds({found->limits.cold_concurrency, found->limits.max_concurrency});
    if (found->model_version.empty()) {
        return;
    }
    if (found->model_version != wanted_) {
        begin(found->model_version, view->accepted->generation);
    }
    generation_ = view->accepted->generation;
    if (in_force_ == wanted_) {
        step_ = step::idle;
        return;
    }
    switch (step_) {
    case step::idle:
    case step::manifest:
        fetch_manifest();
        break;
    case step::chunks:
        fetch_chunks();
        break;
    case step::drain:
        drain();
        break;
    case step::hand_over:
    case step::load:
        break;
    }
}

void version_keeper::begin(const std::string& version, std::uint64_t generation) {
    log_event(log_level::info, "version_wanted",
              {{"version", version}, {"generation", generation}, {"in_force", in_force_}});
    wanted_ = version;
    generation_ = generation;
    step_ = step::idle;
    requested_.clear();
    manifest_ = {};
    is_draining_ = false;
    context_.gate.set_ready(!in_force_.empty());
}

void version_keeper::fetch_manifest() {
    step_ = step::manifest;
    const std::string version = wanted_;
    context_.store.get_object(version, on_control([this, version](result<std::string> text) {
                                  if (!is_current(version) || step_ != step::manifest) {
                                      return;
                                  }
                                  if (!text) {
                                      return;
                                  }
                                  auto parsed = parse_manifest(*text, version);
                                  if (!parsed || parsed->total_size > chunks_.limit) {
                                      log_event(log_level::error, "version_refused",
                                                {{"version", version},
                                                 {"reason", parsed ? "larger than weight_memory"
                                                                   : parsed.error().message}});
                                      return;
                                  }
                                  manifest_ = std::move(*parsed);
                                  manifest_text_ = std::move(*text);
                                  keep_only(chunks_, manifest_);
                                  step_ = step::chunks;
                                  fetch_chunks();
                              }));
}

void version_keeper::fetch_chunks() {
    for (std::size_t i = 0; i < manifest_.chunks.size(); ++i) {
        if (requested_.size() >= parallel_fetches) {
            return;
        }
        if (find_chunk(chunks_, manifest_.chunks[i].hash) == nullptr && requested_.count(i) == 0) {
            fetch_from_origin(i);
        }
    }
    if (requested_.empty()) {
        hand_over();
    }
}

void version_keeper::fetch_from_origin(std::size_t index) {
    const std::uint64_t first = chunk_offset(manifest_, index);
    const std::uint64_t last = first + manifest_.chunks[index].size - 1;
    http_request request;
    request.url = context_.options.platform.weight_store + "/weights/" + manifest_.source;
    request.headers = {{"Range", "bytes=" + std::to_string(first) + "-" + std::to_string(last)}};
    request.timeout = chunk_timeout;
    requested_.insert(index);
    const std::string version = wanted_;
    context_.platform.fetch(std::move(request), largest_chunk_size,
                            on_control([this, version, index](const http_answer& answer) {
                                handle_chunk(version, index, answer);
                            }));
}

void version_keeper::handle_chunk(const std::string& version, std::size_t index,
                                  const http_answer& answer) {
    origin_bytes_ += answer.body.size();
    if (!is_current(version) || step_ != step::chunks) {
        return;
    }
    requested_.erase(index);
    if (answer.outcome.is_complete && is_chunk_valid(manifest_, index, answer.body)) {
        add_chunk(chunks_, manifest_.chunks[index].hash,
                  std::make_shared<const std::string>(answer.body));
        fetch_chunks();
        return;
    }
    context_.numbers.count("citronseam_chunks_rejected_total", {{"source", "origin"}});
}

void version_keeper::hand_over() {
    step_ = step::hand_over;
    hand_over_next(0);
}

void version_keeper::hand_over_next(std::size_t index) {
    if (index == manifest_.chunks.size()) {
        step_ = step::drain;
        step_began_ = std::chrono::steady_clock::now();
        drain();
        return;
    }
    const std::string version = wanted_;
    const chunk_content content = find_chunk(chunks_, manifest_.chunks[index].hash);
    send_chunk(context_.platform, context_.options.backend_server.address, version, index, *content,
               on_control([this, version, index](const result<bool>& sent) {
                   if (!is_current(version) || step_ != step::hand_over) {
                       return;
                   }
                   if (!sent) {
                       step_ = step::chunks;
                       return;
                   }
                   hand_over_next(index + 1);
               }));
}

void version_keeper::drain() {
    is_draining_ = true;
    context_.gate.set_ready(false);
    const bool is_over = std::chrono::steady_clock::now() - step_began_ > longest_drain;
    if (context_.gate.running() == 0 || is_over) {
        load();
    }
}

void version_keeper::load() {
    step_ = step::load;
    const std::string version = wanted_;
    const load_order order{version, manifest_text_, generation_};
    order_load(context_.platform, context_.options.backend_server.address, order, load_timeout,
               on_control([this, version](const result<bool>& outcome) {
                   handle_loaded(version, outcome);
               }));
}

void version_keeper::handle_loaded(const std::string& version, const result<bool>& outcome) {
    is_draining_ = false;
    step_ = step::idle;
    if (!outcome) {
        context_.numbers.count("citronseam_loads_failed_total");
        log_event(log_level::error, "load_failed",
                  {{"version", version}, {"reason", outcome.error().message}});
        context_.gate.set_ready(!in_force_.empty());
        return;
    }
    in_force_ = version;
    log_event(log_level::info, "version_in_force", {{"version", version}});
    context_.gate.turn_cold(cold_sign::reloaded);
    context_.gate.set_ready(true);
}

version_progress version_keeper::progress() const {
    version_progress report;
    report.in_force = in_force_;
    report.wanted = wanted_;
    report.total = static_cast<std::uint32_t>(manifest_.chunks.size());
    report.held = count_held(chunks_, manifest_);
    report.origin_bytes = origin_bytes_;
    return report;
}

} // namespace citronseam
