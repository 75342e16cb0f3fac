#include "programs/agent/cache_event_reader.h"

namespace citronseam {
namespace {

/// Maximum number of stored and of evicted keys in one report; the newest are kept. The bound
/// limits the control traffic of an entry.
constexpr std::size_t max_reported_keys = 16;

} // namespace

cache_event_reader::cache_event_reader(agent_context& context,
                                       std::function<void(const shared_frame&)> send)
    : context_(context), send_(std::move(send)) {}

void cache_event_reader::poll(const std::string& boot_id) {
    if (is_polling_) {
        return;
    }
    if (boot_id != boot_id_) {
        is_reset_pending_ = !boot_id_.empty();
        boot_id_ = boot_id;
        sequence_ = {};
    }
    is_polling_ = true;
    fetch_cache_events(context_.platform, context_.options.backend_server.address, sequence_.last,
                       [this, boot_id](result<std::vector<cache_event>> events) {
                           context_.control.post([this, boot_id, events = std::move(events)] {
                               is_polling_ = false;
                               handle_events(boot_id, events);
                           });
                       });
}

void cache_event_reader::handle_events(const std::string& boot_id,
                                       const result<std::vector<cache_event>>& events) {
    if (!events || boot_id != boot_id_) {
        return;
    }
    wire::cache_reportT report;
    report.is_reset = is_reset_pending_;
    for (const auto& event : *events) {
        const auto missed = advance_sequence(sequence_, event.number);
        if (!missed) {
            continue;
        }
        if (*missed > 0) {
            context_.process_metrics.count("citronseam_cache_event_gaps_total");
        }
        (event.is_stored ? report.stored : report.evicted).push_back(event.key);
    }
    if (report.stored.empty() && report.evicted.empty() && !report.is_reset) {
        return;
    }
    for (auto* keys : {&report.stored, &report.evicted}) {
        if (keys->size() > max_reported_keys) {
            keys->erase(keys->begin(), keys->end() - max_reported_keys);
        }
    }
    is_reset_pending_ = false;
    send_(make_frame(std::move(report)));
}

} // namespace citronseam
