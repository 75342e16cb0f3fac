/// @file
/// Broken promises and counts of a soak run, which its threads share.
#ifndef CITRONSEAM_TESTS_SOAK_PROMISE_LOG_H
#define CITRONSEAM_TESTS_SOAK_PROMISE_LOG_H

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "citronseam/process/clock.h"

#include "soak/promises.h"

namespace citronseam::soak {

/// Collects what a run has seen. May be used from any thread.
class promise_log {
public:
    explicit promise_log(std::uint64_t seed);

    /// Prints a broken promise with seed and time, and keeps it.
    void report(const breach& broken);
    /// Checks an answer and counts it.
    void record(const soak_request& request, const caller_answer& answer);
    /// @return whether a promise of this kind was reported for the request or process
    bool is_reported(promise broken, const std::string& request) const;
    std::vector<breach> breaches() const;
    /// @return requests that may run once and were refused, with the status
    std::map<std::string, int> refused() const;
    /// @return answers by kind of request and result, as text
    std::string summary() const;
    /// @return complete successes of a kind of request
    int success_count(request_kind kind) const;
    milliseconds elapsed() const;

private:
    mutable std::mutex mutex_;
    const std::uint64_t seed_;
    const time_point started_at_;
    std::vector<breach> breaches_;
    std::map<std::string, int> refused_;
    std::map<request_kind, std::map<std::string, int>> counts_;
};

} // namespace citronseam::soak

#endif
