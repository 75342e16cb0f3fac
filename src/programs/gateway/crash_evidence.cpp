#include "programs/gateway/crash_evidence.h"

#include <algorithm>

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

/// Between two reports. The requests that end with one server mostly end within this time.
constexpr milliseconds min_report_interval{10};

std::uint64_t microseconds_between(time_point start, time_point end) {
    const auto elapsed = std::chrono::duration_cast<microseconds>(end - start).count();
    return elapsed > 0 ? static_cast<std::uint64_t>(elapsed) : 0;
}

/// Clocks of other processes differ, so times are sent as ages.
shared_frame make_loss_report(const server_crash& crash, bool is_refuted) {
    const auto now = std::chrono::steady_clock::now();
    wire::server_loss_reportT report;
    report.instance = crash.server.instance;
    report.incarnation = crash.server.incarnation;
    report.lost_us_ago = microseconds_between(crash.lost_at, now);
    report.is_refuted = is_refuted;
    if (crash.alive_at) {
        report.is_silent = true;
        report.alive_us_ago = microseconds_between(*crash.alive_at, now);
    }
    for (const crash_suspect& suspect : crash.suspects) {
        if (!suspect.traits.empty()) {
            auto entry = std::make_unique<wire::crash_suspectT>();
            entry->request = suspect.request;
            entry->traits = suspect.traits;
            entry->sent_us_ago = microseconds_between(suspect.sent_at, now);
            report.suspects.push_back(std::move(entry));
        }
    }
    return make_frame(std::move(report));
}

server_crash read_loss_report(const wire::server_loss_report& report, time_point now) {
    server_crash crash;
    crash.server = {std::string(view(report.instance())), report.incarnation()};
    crash.lost_at = now - microseconds(report.lost_us_ago());
    if (report.is_silent()) {
        crash.alive_at = now - microseconds(report.alive_us_ago());
    }
    if (report.suspects() == nullptr) {
        return crash;
    }
    for (const wire::crash_suspect* entry : *report.suspects()) {
        crash_suspect suspect;
        suspect.request = entry->request();
        suspect.sent_at = now - microseconds(entry->sent_us_ago());
        if (entry->traits() != nullptr) {
            suspect.traits.assign(entry->traits()->begin(), entry->traits()->end());
        }
        crash.suspects.push_back(std::move(suspect));
    }
    return crash;
}

/// @param source who saw the loss
void log_loss(const server_crash& crash, std::string_view source) {
    log_event(log_level::warning, "backend_server_lost",
              {{"instance", crash.server.instance},
               {"suspects", crash.suspects.size()},
               {"silent", crash.alive_at ? 1 : 0},
               {"source", source}});
}

void log_refutation(const lost_server& server) {
    log_event(log_level::info, "backend_server_answers", {{"instance", server.instance}});
}

void log_refused_traits(const std::vector<trait_set>& refused) {
    for (const trait_set& cause : refused) {
        std::string traits;
        for (const std::uint64_t trait : cause) {
            traits += (traits.empty() ? "" : ",") + std::to_string(trait);
        }
        log_event(log_level::warning, "crash_cause", {{"traits", traits}});
    }
    if (refused.empty()) {
        log_event(log_level::info, "crash_cause_gone", {});
    }
}

} // namespace

void crash_evidence::set_broadcast(std::function<void(const shared_frame&)> broadcast) {
    broadcast_ = std::move(broadcast);
}

void crash_evidence::set_cause_handler(std::function<void(const std::vector<trait_set>&)> handle) {
    const std::lock_guard<std::mutex> lock(mutex_);
    handle_causes_ = std::move(handle);
}

void crash_evidence::restore_cause(const trait_set& traits, milliseconds expires_in) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    citronseam::restore_cause(state_, traits, now + std::min(expires_in, state_.lifetime));
    has_crashes_ = true;
    update_causes(now);
}

void crash_evidence::record_loss(const lost_server& server, crash_suspect suspect) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    add_loss({server, now, {std::move(suspect)}, std::nullopt}, now);
}

void crash_evidence::record_silence(silent_attempt attempt) {
    log_event(log_level::info, "server_silent",
              {{"instance", attempt.server.instance},
               {"sent_ms_ago", elapsed_ms(attempt.suspect.sent_at, attempt.given_up_at)},
               {"alive_ms_ago", elapsed_ms(attempt.alive_at, attempt.given_up_at)}});
    const std::lock_guard<std::mutex> lock(mutex_);
    has_silence_ = true;
    if (const auto loss = add_silent_attempt(silent_, attempt)) {
        add_loss(*loss, attempt.given_up_at);
    }
}

void crash_evidence::record_life(const lost_server& server) {
    if (!has_silence_) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    citronseam::record_life(silent_, server);
    has_silence_ = !silent_.attempts.empty();
}

void crash_evidence::record_gone(const lost_server& server) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    if (const auto loss = citronseam::record_gone(silent_, server, now)) {
        add_loss(*loss, now);
    }
}

void crash_evidence::record_listed(const lost_server& server) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (forget_silent_crash(state_, server)) {
        log_refutation(server);
    }
    forget_gone(silent_, server);
}

/// Adds what this process knows of the loss of a server, and tells the others. The mutex is locked.
void crash_evidence::add_loss(const server_crash& loss, time_point now) {
    if (!add_crash(state_, loss, now)) {
        return;
    }
    has_crashes_ = true;
    has_own_losses_ = true;
    update_causes(now);
    const auto [pending, is_new] =
        pending_losses_.try_emplace({loss.server.instance, loss.server.incarnation}, loss);
    if (!is_new) {
        std::vector<crash_suspect>& suspects = pending->second.suspects;
        suspects.insert(suspects.end(), loss.suspects.begin(), loss.suspects.end());
    }
    send_later();
}

void crash_evidence::record_answer(const lost_server& server, time_point sent_at) {
    if (!has_crashes_) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!refute_crash(state_, server, sent_at)) {
        return;
    }
    pending_losses_.erase({server.instance, server.incarnation});
    log_refutation(server);
    server_crash refuted;
    refuted.server = server;
    control_.post([this, frame = make_loss_report(refuted, true)] { broadcast_(frame); });
}

void crash_evidence::record_survival(const std::vector<std::uint64_t>& traits) {
    if (!has_crashes_ && !has_silence_) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::vector<std::uint64_t> cleared = clear_traits(state_, traits);
    clear_silent_traits(silent_, traits);
    if (!cleared.empty()) {
        pending_cleared_.insert(pending_cleared_.end(), cleared.begin(), cleared.end());
        send_later();
    }
}

void crash_evidence::apply(const wire::server_loss_report& report) {
    const auto now = std::chrono::steady_clock::now();
    const server_crash loss = read_loss_report(report, now);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (report.is_refuted()) {
        if (forget_crash(state_, loss.server)) {
            log_refutation(loss.server);
        }
    } else if (add_crash(state_, loss, now)) {
        has_crashes_ = true;
        log_loss(loss, "gateway");
    }
}

void crash_evidence::apply(const wire::survival_report& report) {
    if (report.traits() == nullptr) {
        return;
    }
    const std::vector<std::uint64_t> traits(report.traits()->begin(), report.traits()->end());
    const std::lock_guard<std::mutex> lock(mutex_);
    clear_traits(state_, traits);
    clear_silent_traits(silent_, traits);
}

bool crash_evidence::is_refused(const std::vector<std::uint64_t>& traits) {
    if (!has_crashes_) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    update_causes(std::chrono::steady_clock::now());
    return citronseam::is_refused(state_, traits);
}

/// Brings the refused traits up to date. The mutex is locked.
void crash_evidence::update_causes(time_point now) {
    if (!update_refused_traits(state_, now)) {
        return;
    }
    log_refused_traits(state_.refused);
    if (has_own_losses_ && handle_causes_) {
        control_.post([this, refused = state_.refused] { handle_causes_(refused); });
    }
}

milliseconds crash_evidence::expires_in() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return time_to_expiry(state_, std::chrono::steady_clock::now());
}

std::vector<shared_frame> crash_evidence::make_report_frames() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<shared_frame> frames;
    for (const server_crash& crash : state_.crashes) {
        frames.push_back(make_loss_report(crash, false));
    }
    return frames;
}

/// Schedules send_pending(). The mutex is locked.
void crash_evidence::send_later() {
    if (!is_sending_scheduled_) {
        is_sending_scheduled_ = true;
        const auto due = last_sent_at_ + min_report_interval;
        const auto delay = std::chrono::duration_cast<microseconds>(
            std::max(due - std::chrono::steady_clock::now(), time_point::duration::zero()));
        control_.post_after(delay, [this] { send_pending(); });
    }
}

void crash_evidence::send_pending() {
    std::vector<shared_frame> frames;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_sending_scheduled_ = false;
        last_sent_at_ = std::chrono::steady_clock::now();
        for (const auto& [server, loss] : std::exchange(pending_losses_, {})) {
            log_loss(loss, "own");
            frames.push_back(make_loss_report(loss, false));
        }
        if (!pending_cleared_.empty()) {
            wire::survival_reportT report;
            report.traits = std::exchange(pending_cleared_, {});
            frames.push_back(make_frame(std::move(report)));
        }
    }
    for (const shared_frame& frame : frames) {
        broadcast_(frame);
    }
}

} // namespace citronseam
