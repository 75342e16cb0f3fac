#include "programs/agent/cache_event_reader.h"

namespace citronseam {
namespace {

/// Hints in one report. The newest are kept; the bound keeps an entry's control traffic small.
constexpr std::size_t most_hints = 16;

} // namespace

cache_watch::cache_watch(agent_context& context, std::function<void(const shared_frame&)> send)
    : context_(context), send_(std::move(send)) {}

void cache_watch::read(const std::string& boot) {
    if (is_reading_) {
        return;
    }
    if (boot != boot_) {
        is_reset_due_ = !boot_.empty();
        boot_ = boot;
        sequence_ = {};
    }
    is_reading_ = true;
    ask_cache_events(context_.platform, context_.options.backend_server.address, sequence_.last,
                     [this, boot](result<std::vector<cache_event>> events) {
                         context_.control.post([this, boot, events = std::move(events)] {
                             is_reading_ = false;
                             take(boot, events);
                         });
                     });
}

void cache_watch::take(const std::string& boot, const result<std::vector<cache_event>>& events) {
    if (!events || boot != boot_) {
        return;
    }
    wire::cache_reportT report;
    report.is_reset = is_reset_due_;
    for (const auto& event : *events) {
        const auto missed = take_event_number(sequence_, event.number);
        if (!missed) {
            continue;
        }
        if (*missed > 0) {
            context_.numbers.count("citronseam_cache_event_gaps_total");
        }
        (event.is_stored ? report.stored : report.evicted).push_back(event.key);
    }
    if (report.stored.empty() && report.evicted.empty() && !report.is_reset) {
        return;
    }
    for (auto* keys : {&report.stored, &report.evicted}) {
        if (keys->size() > most_hints) {
            keys->erase(keys->begin(), keys->end() - most_hints);
        }
    }
    is_reset_due_ = false;
    send_(make_frame(std::move(report)));
}

} // namespace citronseam
