#include "programs/agent/admission_controller.h"

#include <utility>

#include "citronseam/process/log.h"

namespace citronseam {

admission_controller::admission_controller(std::string zone, std::string service,
                                           const control_state_sync& state_sync,
                                           metrics& process_metrics)
    : zone_(std::move(zone)), service_(std::move(service)), state_sync_(state_sync),
      metrics_(process_metrics), state_(make_cold_admission({})) {}

refusal admission_controller::check() const {
    const control_view view = state_sync_.view();
    const time_point now = std::chrono::steady_clock::now();
    if (view->accepted == nullptr) {
        return refusal::not_ready;
    }
    if (!is_zone_in_service(*view, zone_, now)) {
        return refusal::availability_zone_out;
    }
    if (must_refuse_for_stale_evidence(*view, now)) {
        return refusal::stale_evidence;
    }
    if (find_service(view->accepted->content, service_) == nullptr) {
        return refusal::unknown_service;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_leaving_) {
        return refusal::leaving;
    }
    return is_ready_ ? refusal::none : refusal::not_ready;
}

refusal admission_controller::try_admit(bool is_isolated, admission_ticket& ticket) {
    const refusal reason = check();
    if (reason != refusal::none) {
        return reason;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_admissible(state_, is_isolated)) {
        return refusal::limit;
    }
    ticket = admit(state_, is_isolated);
    return refusal::none;
}

void admission_controller::record_limit_refusal() {
    const std::lock_guard<std::mutex> lock(mutex_);
    has_limit_refusal_ = true;
}

bool admission_controller::consume_limit_refusal() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_admissible(state_, false) && std::exchange(has_limit_refusal_, false);
}

void admission_controller::release_ticket(const admission_ticket& ticket) {
    const std::lock_guard<std::mutex> lock(mutex_);
    release(state_, ticket);
}

void admission_controller::release_after_response(const admission_ticket& ticket,
                                                  milliseconds first_byte) {
    bool is_slow = false;
    bool is_changed = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::uint32_t before = state_.limit;
        is_slow = finish(state_, ticket, first_byte);
        is_changed = state_.limit != before;
    }
    if (is_slow) {
        metrics_.count("citronseam_cold_signs_total", {{"sign", "slow_answer"}});
        log_event(
            log_level::warning, "turned_cold",
            {{"sign", name(cold_reason::slow_response)}, {"first_byte_ms", first_byte.count()}});
    }
    if (is_changed) {
        notify();
    }
}

void admission_controller::mark_cold(cold_reason reason) {
    bool was_warm = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        was_warm = state_.limit > state_.bounds.cold_limit;
        citronseam::mark_cold(state_);
    }
    metrics_.count("citronseam_cold_signs_total", {{"sign", std::string(name(reason))}});
    if (was_warm) {
        log_event(log_level::warning, "turned_cold", {{"sign", name(reason)}});
    }
    notify();
}

void admission_controller::set_bounds(const admission_bounds& bounds) {
    bool is_changed = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::uint32_t before = state_.limit;
        citronseam::set_bounds(state_, bounds);
        is_changed = state_.limit != before;
    }
    // Bounds are set on every reconcile; only a change of the limit is worth an extra heartbeat.
    if (is_changed) {
        notify();
    }
}

void admission_controller::set_ready(bool is_ready) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_ready_ == is_ready) {
            return;
        }
        is_ready_ = is_ready;
    }
    log_event(log_level::info, "readiness", {{"ready", is_ready ? "true" : "false"}});
    notify();
}

void admission_controller::set_leaving() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_leaving_ = true;
    }
    notify();
}

void admission_controller::set_change_callback(std::function<void()> callback) {
    callback_ = std::move(callback);
}

std::uint32_t admission_controller::effective_limit() const {
    if (check() != refusal::none) {
        return 0;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    return state_.limit;
}

std::uint32_t admission_controller::running() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return state_.running;
}

bool admission_controller::is_ready() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_ready_;
}

bool admission_controller::is_leaving() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_leaving_;
}

bool admission_controller::is_cold() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return citronseam::is_cold(state_);
}

void admission_controller::notify() const {
    if (callback_) {
        callback_();
    }
}

} // namespace citronseam
