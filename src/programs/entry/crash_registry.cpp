#include "programs/entry/crash_registry.h"

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

shared_frame make_report(std::uint64_t fingerprint, const lost_server& loss, bool is_release) {
    wire::crash_reportT report;
    report.fingerprint = fingerprint;
    report.instance = loss.instance;
    report.incarnation = loss.incarnation;
    report.is_release = is_release;
    return make_frame(std::move(report));
}

} // namespace

void crash_registry::set_broadcast(std::function<void(const shared_frame&)> broadcast) {
    broadcast_ = std::move(broadcast);
}

void crash_registry::handle_report(const wire::crash_report& message) {
    if (message.is_release()) {
        release(message.fingerprint());
        return;
    }
    const lost_server loss{std::string(view(message.instance())), message.incarnation()};
    quarantine_status status{};
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const time_point now = std::chrono::steady_clock::now();
        if (!record_loss(state_, message.fingerprint(), loss, now)) {
            return;
        }
        status = quarantine_status_of(state_, message.fingerprint(), now);
    }
    log_event(log_level::warning, "backend_server_lost",
              {{"fingerprint", message.fingerprint()},
               {"instance", loss.instance},
               {"standing", name(status)}});
    broadcast_(make_report(message.fingerprint(), loss, false));
}

bool crash_registry::release(std::uint64_t fingerprint) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!release_fingerprint(state_, fingerprint)) {
            return false;
        }
    }
    log_event(log_level::info, "quarantine_released", {{"fingerprint", fingerprint}});
    broadcast_(make_report(fingerprint, {}, true));
    return true;
}

quarantine_status crash_registry::status_of(std::uint64_t fingerprint) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return quarantine_status_of(state_, fingerprint, std::chrono::steady_clock::now());
}

milliseconds crash_registry::expires_in(std::uint64_t fingerprint) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return time_to_expiry(state_, fingerprint, std::chrono::steady_clock::now());
}

std::vector<crash_summary> crash_registry::list() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const time_point now = std::chrono::steady_clock::now();
    std::vector<crash_summary> listing;
    for (const auto& [fingerprint, record] : state_.records) {
        const quarantine_status status = quarantine_status_of(state_, fingerprint, now);
        if (status != quarantine_status::clear) {
            listing.push_back(
                {fingerprint, status, record.losses, time_to_expiry(state_, fingerprint, now)});
        }
    }
    return listing;
}

std::vector<shared_frame> crash_registry::make_report_frames() const {
    std::vector<shared_frame> frames;
    for (const auto& entry : list()) {
        for (const auto& loss : entry.losses) {
            frames.push_back(make_report(entry.fingerprint, loss, false));
        }
    }
    return frames;
}

} // namespace citronseam
