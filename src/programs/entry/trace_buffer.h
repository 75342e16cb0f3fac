/// @file
/// Traces of recent requests, for `citronseam trace`.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_TRACE_BUFFER_H
#define CITRONSEAM_PROGRAMS_ENTRY_TRACE_BUFFER_H

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "citronseam/request/verdict.h"

namespace citronseam {

/// One attempt at one backend server.
struct trace_attempt {
    std::string instance;
    std::uint32_t sent_ms{0};  ///< since the request arrived
    std::uint32_t ended_ms{0}; ///< since the request arrived
    run_verdict verdict{run_verdict::not_run};
    refusal reason{refusal::none};
};

/// Attempts and result of one request.
struct request_trace {
    std::string request_id;
    std::string service;
    std::string workspace;
    bool is_idempotent{true};
    std::uint64_t fingerprint{0};
    std::uint64_t arrived_at_ms{0}; ///< Unix time in milliseconds
    std::uint32_t duration_ms{0};
    std::string result;
    std::string model_version;
    std::vector<trace_attempt> attempts;
};

/// Bounded buffer of the latest traces; the oldest is dropped first. Thread-safe.
class trace_buffer {
public:
    /// Adds the trace of a completed request.
    void add(request_trace trace);
    /// @return all traces with that request id, latest first
    std::vector<request_trace> find(const std::string& request_id) const;

private:
    mutable std::mutex mutex_;
    std::deque<request_trace> traces_;
};

} // namespace citronseam

#endif
