#include "programs/entry/latency_recorder.h"

#include "citronseam/process/clock.h"

namespace citronseam {

void latency_recorder::add(const std::string& service, std::uint32_t duration_ms,
                           bool is_answered) {
    const std::lock_guard<std::mutex> lock(mutex_);
    add_latency(services_[service], wall_clock_ms(), duration_ms, is_answered);
}

latency_summary latency_recorder::summary(const std::string& service, std::uint64_t from_ms,
                                          std::uint64_t to_ms) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = services_.find(service);
    return found == services_.end() ? latency_summary{} : summarize(found->second, from_ms, to_ms);
}

} // namespace citronseam
