#include "programs/gateway/first_event_reporter.h"

#include <utility>

namespace citronseam {
namespace {

/// Interval in which reports to one sidecar are sent together.
constexpr milliseconds batch_interval{50};
/// Of one sidecar. No engine begins as many requests in one interval.
constexpr std::size_t max_waiting_reports = 64;
/// Engines whose sidecars are remembered; their addresses change with each new instance.
constexpr std::size_t max_sidecars = 4096;

} // namespace

void first_event_reporter::set_sidecar(const std::string& address, const std::string& instance) {
    if (sidecars_.size() >= max_sidecars && sidecars_.count(address) == 0) {
        sidecars_.clear();
    }
    sidecars_[address].instance = instance;
}

void first_event_reporter::report(wire::first_event_reportT report) {
    control_.post([this, report = std::move(report)]() mutable { add(std::move(report)); });
}

void first_event_reporter::add(wire::first_event_reportT report) {
    const auto found = sidecars_.find(report.server_address);
    if (found == sidecars_.end()) {
        metrics_.count("citronseam_first_event_reports_total", {{"outcome", "dropped"}});
        return;
    }
    sidecar_queue& queue = found->second;
    if (queue.waiting.size() >= max_waiting_reports) {
        metrics_.count("citronseam_first_event_reports_total", {{"outcome", "dropped"}});
        return;
    }
    queue.waiting.push_back(make_frame(std::move(report)));
    if (queue.is_scheduled) {
        return;
    }
    const auto elapsed = std::chrono::steady_clock::now() - queue.sent_at;
    if (elapsed >= batch_interval) {
        flush(found->first);
        return;
    }
    queue.is_scheduled = true;
    control_.post_after(
        std::chrono::duration_cast<std::chrono::microseconds>(batch_interval - elapsed),
        [this, address = found->first] { flush(address); });
}

void first_event_reporter::flush(const std::string& address) {
    const auto found = sidecars_.find(address);
    if (found == sidecars_.end()) {
        return;
    }
    sidecar_queue& queue = found->second;
    queue.is_scheduled = false;
    queue.sent_at = std::chrono::steady_clock::now();
    for (const shared_frame& frame : std::exchange(queue.waiting, {})) {
        const bool is_sent = send_ && send_(queue.instance, frame);
        metrics_.count("citronseam_first_event_reports_total",
                       {{"outcome", is_sent ? "sent" : "dropped"}});
    }
}

} // namespace citronseam
