/// @file
/// What the product promises to callers, checked against what a caller received.
#ifndef CITRONSEAM_TESTS_SOAK_PROMISES_H
#define CITRONSEAM_TESTS_SOAK_PROMISES_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citronseam/process/enum_names.h"

#include "soak/caller_connection.h"

namespace citronseam::soak {

/// Kinds of promises.
enum class promise : std::uint8_t {
    mixed,   ///< a success is the server's whole answer to that request
    order,   ///< each event of a stream once, in order, and all of them if it ends as complete
    twice,   ///< a request that may not be repeated runs once
    refused, ///< a refused request never runs
    memory,  ///< memory of a process is bounded
    files,   ///< open files of a process are bounded
    ended    ///< a process ends only when it is told to
};

inline constexpr std::array<enum_name<promise>, 7> promise_names{{
    {promise::mixed, "MIXED"},
    {promise::order, "ORDER"},
    {promise::twice, "TWICE"},
    {promise::refused, "REFUSED"},
    {promise::memory, "MEMORY"},
    {promise::files, "FILES"},
    {promise::ended, "ENDED"},
}};

/// Kinds of requests; one route each.
enum class request_kind : std::uint8_t { look, book, stream, single_stream };

inline constexpr std::array<enum_name<request_kind>, 4> request_names{{
    {request_kind::look, "look"},
    {request_kind::book, "book"},
    {request_kind::stream, "draft"},
    {request_kind::single_stream, "draft-once"},
}};

/// A request of a caller. Its path names it, and its server's answer names the path.
struct soak_request {
    request_kind kind{request_kind::look};
    std::string id; ///< `X-Citronseam-Attempt-Id`

    std::string path() const;
    /// @return whether it may run only once
    bool is_single() const {
        return kind == request_kind::book || kind == request_kind::single_stream;
    }
    /// @return whether its answer is a stream of events
    bool is_stream() const {
        return kind == request_kind::stream || kind == request_kind::single_stream;
    }
};

/// A promise that was broken.
struct breach {
    promise broken{promise::mixed};
    std::string request; ///< identifier of the request, or name of the process
    std::string detail;
};

/// @return whether a status promises that the request has not run and never will
bool is_refusal(int status);

/// @return the promise that this answer breaks, if any
std::optional<breach> check_answer(const soak_request& request, const caller_answer& answer);

/// @return an identifier, which begins with the kind of the request
std::string make_id(request_kind kind, std::size_t caller, int count);

/// @param runs    number of runs by identifier of the request
/// @param refused status by identifier, of requests that may run only once
/// @return promises that these runs break
std::vector<breach> check_runs(const std::map<std::string, int>& runs,
                               const std::map<std::string, int>& refused);

} // namespace citronseam::soak

#endif
