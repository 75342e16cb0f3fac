/// @file
/// Recent latencies of each service at this entry.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_LATENCY_RECORDER_H
#define CITRONSEAM_PROGRAMS_ENTRY_LATENCY_RECORDER_H

#include <map>
#include <mutex>
#include <string>

#include "citronseam/request/latency_windows.h"

namespace citronseam {

/// Thread-safe latency windows by service.
class latency_recorder {
public:
    /// Adds a request that ended now.
    void add(const std::string& service, std::uint32_t duration_ms, bool is_answered);
    /// Aggregates the requests of a service that ended between two Unix times in milliseconds.
    latency_summary summary(const std::string& service, std::uint64_t from_ms,
                            std::uint64_t to_ms) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, latency_windows> services_;
};

} // namespace citronseam

#endif
