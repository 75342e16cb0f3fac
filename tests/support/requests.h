/// @file
/// Requests that tests send, and what they read out of answers.
#ifndef CITRONSEAM_TESTS_SUPPORT_REQUESTS_H
#define CITRONSEAM_TESTS_SUPPORT_REQUESTS_H

#include <future>
#include <string>

#include <nlohmann/json.hpp>

#include "support/deployment.h"

namespace citronseam::harness {

/// @return body of a completion request
inline std::string completion(const std::string& prompt, int tokens, bool is_stream) {
    return nlohmann::json{
        {"model", "pool"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", is_stream}}
        .dump();
}

/// Books with a key at the plain service.
inline http_answer book(deployment& system, std::size_t entry, const std::string& key,
                        const std::string& body = "berth 7",
                        milliseconds timeout = milliseconds(10000)) {
    return system.call(entry, "POST", "/services/desk/bookings", body, {{"Idempotency-Key", key}},
                       timeout);
}

/// Books in the background.
inline std::future<http_answer> start_booking(deployment& system, std::size_t entry,
                                              const std::string& key,
                                              milliseconds timeout = milliseconds(10000)) {
    return std::async(std::launch::async, [&system, entry, key, timeout] {
        return book(system, entry, key, "berth 7", timeout);
    });
}

/// @return runs of a stand-in that began later than a moment, Unix time in milliseconds
inline int runs_after(deployment& system, const std::string& server, std::uint64_t moment_ms) {
    int count = 0;
    for (const auto& event : system.record(server)) {
        const bool is_run = event.value("event", "") == "run";
        count += is_run && event.value("at_ms", std::uint64_t{0}) > moment_ms ? 1 : 0;
    }
    return count;
}

/// @return the verdict that an answer carries
inline std::string verdict_of(const http_answer& answer) {
    return find_header(answer.headers, "X-Run-Verdict");
}

} // namespace citronseam::harness

#endif
