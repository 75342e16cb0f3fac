#include "programs/daemon/crash_registry.h"

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

enum class report_kind : std::uint8_t { loss, release };

shared_frame make_report(std::uint64_t fingerprint, const lost_server& server, report_kind kind) {
    wire::crash_reportT report;
    report.fingerprint = fingerprint;
    report.instance = server.instance;
    report.incarnation = server.incarnation;
    report.is_release = kind == report_kind::release;
    return make_frame(std::move(report));
}

lost_server server_of(const wire::crash_report& message) {
    return {std::string(view(message.instance())), message.incarnation()};
}

} // namespace

crash_registry::crash_registry(std::size_t losses_to_refuse) {
    state_.losses_to_refuse = losses_to_refuse;
}

void crash_registry::set_broadcast(std::function<void(const shared_frame&)> broadcast) {
    broadcast_ = std::move(broadcast);
}

bool crash_registry::add_loss(std::uint64_t fingerprint, const lost_server& loss) {
    quarantine_status status{};
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const time_point now = std::chrono::steady_clock::now();
        if (!citronseam::record_loss(state_, fingerprint, loss, now)) {
            return false;
        }
        status = quarantine_status_of(state_, fingerprint, now);
    }
    log_event(
        log_level::warning, "backend_server_lost",
        {{"fingerprint", fingerprint}, {"instance", loss.instance}, {"standing", name(status)}});
    return true;
}

bool crash_registry::remove_record(std::uint64_t fingerprint) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!release_fingerprint(state_, fingerprint)) {
            return false;
        }
    }
    log_event(log_level::info, "quarantine_released", {{"fingerprint", fingerprint}});
    return true;
}

void crash_registry::record_loss(std::uint64_t fingerprint, const lost_server& loss) {
    if (add_loss(fingerprint, loss)) {
        broadcast_(make_report(fingerprint, loss, report_kind::loss));
    }
}

void crash_registry::handle_report(const wire::crash_report& message) {
    if (message.is_release()) {
        release(message.fingerprint());
    } else {
        record_loss(message.fingerprint(), server_of(message));
    }
}

bool crash_registry::release(std::uint64_t fingerprint) {
    if (!remove_record(fingerprint)) {
        return false;
    }
    broadcast_(make_report(fingerprint, {}, report_kind::release));
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
        if (status == quarantine_status::clear) {
            continue;
        }
        crash_summary summary{fingerprint, status, {}, time_to_expiry(state_, fingerprint, now)};
        summary.losses = record.losses;
        listing.push_back(std::move(summary));
    }
    return listing;
}

std::vector<shared_frame> crash_registry::make_report_frames() const {
    std::vector<shared_frame> frames;
    for (const auto& entry : list()) {
        for (const auto& loss : entry.losses) {
            frames.push_back(make_report(entry.fingerprint, loss, report_kind::loss));
        }
    }
    return frames;
}

} // namespace citronseam
