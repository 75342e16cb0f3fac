/// @file
/// Requests that several tests send, and helpers that read their responses.
#ifndef CITRONSEAM_TESTS_SUPPORT_REQUESTS_H
#define CITRONSEAM_TESTS_SUPPORT_REQUESTS_H

#include <future>
#include <string>

#include <nlohmann/json.hpp>

#include "support/deployment.h"

namespace citronseam::harness {

/// @return JSON body of a completion request
inline std::string completion_body(const std::string& prompt, int tokens, bool is_stream) {
    return nlohmann::json{
        {"model", "pool"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", is_stream}}
        .dump();
}

/// Sends a booking with an idempotency key to the plain service.
inline http_response send_booking(deployment& system, std::size_t entry, const std::string& key,
                                  const std::string& body = "berth 7",
                                  milliseconds timeout = milliseconds(10000)) {
    return system.call(entry, "POST", "/services/desk/bookings", body, {{"Idempotency-Key", key}},
                       timeout);
}

/// Sends a booking from another thread.
inline std::future<http_response> start_booking(deployment& system, std::size_t entry,
                                                const std::string& key,
                                                milliseconds timeout = milliseconds(10000)) {
    return std::async(std::launch::async, [&system, entry, key, timeout] {
        return send_booking(system, entry, key, "berth 7", timeout);
    });
}

/// @param after_ms Unix time in milliseconds
/// @return number of requests that a backend server began to run after that time
inline int count_runs_after(deployment& system, const std::string& server, std::uint64_t after_ms) {
    int count = 0;
    for (const auto& event : system.recorded_events(server)) {
        const bool is_run = event.value("event", "") == "run";
        count += is_run && event.value("at_ms", std::uint64_t{0}) > after_ms ? 1 : 0;
    }
    return count;
}

/// @return the value of the X-Run-Verdict header
inline std::string verdict_of(const http_response& response) {
    return find_header(response.headers, "X-Run-Verdict");
}

} // namespace citronseam::harness

#endif
