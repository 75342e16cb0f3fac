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
    lost,    ///< planned work ends no request that has reached a sound server
    configuration, ///< requests are handled as the newest configuration allows
    drain,         ///< a server that leaves gets no more requests
    whole,         ///< an engine loads the pieces of one version
    memory,        ///< memory of a process is bounded
    files,         ///< open files of a process are bounded
    ended          ///< a process ends only when it is told to
};

inline constexpr std::array<enum_name<promise>, 11> promise_names{{
    {promise::mixed, "MIXED"},
    {promise::order, "ORDER"},
    {promise::twice, "TWICE"},
    {promise::refused, "REFUSED"},
    {promise::lost, "LOST"},
    {promise::configuration, "CONFIG"},
    {promise::drain, "DRAIN"},
    {promise::whole, "WHOLE"},
    {promise::memory, "MEMORY"},
    {promise::files, "FILES"},
    {promise::ended, "ENDED"},
}};

/// Kinds of requests; one route each.
enum class request_kind : std::uint8_t {
    look,
    book,
    stream,
    single_stream,
    later, ///< its route is added and removed
    guest  ///< its key is taken away and given back
};

inline constexpr std::array<enum_name<request_kind>, 6> request_names{{
    {request_kind::look, "look"},
    {request_kind::book, "book"},
    {request_kind::stream, "draft"},
    {request_kind::single_stream, "draft-once"},
    {request_kind::later, "later"},
    {request_kind::guest, "guest"},
}};

/// A request of a caller. Its path names it, and its server's answer names the path.
struct soak_request {
    request_kind kind{request_kind::look};
    std::string id; ///< `X-Citronseam-Attempt-Id`

    std::string path() const;
    /// @return whether it may run only once
    bool is_single() const {
        return kind == request_kind::book || kind == request_kind::single_stream ||
               kind == request_kind::later;
    }
    /// @return whether some configurations do not allow it
    bool is_probe() const { return kind == request_kind::later || kind == request_kind::guest; }
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

/// What a configuration must hold so that a request is handled as it was.
enum class needed_state : std::uint8_t { none, route, no_route, key, no_key };

/// @return what the answer shows of the configuration in force; needed_state::none if no
/// configuration of a run gives that answer; empty if it shows nothing
std::optional<needed_state> needed_configuration(const soak_request& request,
                                                 const caller_answer& answer);

/// @return an identifier, which begins with the kind of the request
std::string make_id(request_kind kind, std::size_t caller, int count);

/// @param runs    number of runs by identifier of the request
/// @param refused status by identifier, of requests that may run only once
/// @return promises that these runs break
std::vector<breach> check_runs(const std::map<std::string, int>& runs,
                               const std::map<std::string, int>& refused);

} // namespace citronseam::soak

#endif
