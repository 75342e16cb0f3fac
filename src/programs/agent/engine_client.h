/// @file
/// Client of a model engine's HTTP admin interface: status, cache events, weights, loading.
#ifndef CITRONSEAM_PROGRAMS_AGENT_ENGINE_CLIENT_H
#define CITRONSEAM_PROGRAMS_AGENT_ENGINE_CLIENT_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/error.h"

namespace citronseam {

/// Status reported by an engine.
struct engine_status {
    std::string version; ///< identifier of the loaded version, empty if none
    std::string boot_id; ///< changes when the engine's process restarts
    bool is_warm{false};
    bool is_loading{false}; ///< a load request is in progress
};

/// A request to load a version and serve it.
struct load_request {
    std::string version;
    std::string manifest;           ///< canonical text
    std::uint64_t fencing_token{0}; ///< generation of the configuration that selects the version
};

/// One event of an engine's prefix cache.
struct cache_event {
    std::uint64_t number{0}; ///< starts at 1 with each start of the engine's process
    std::uint64_t key{0};    ///< hash of the prompt prefix, as sent with the request
    bool is_stored{false};   ///< true: stored, false: evicted
};

/// Fetches an engine's cache events after a number. Engines publish events late and omit some.
///
/// Errors: `unavailable`, no response; `protocol`, a response that cannot be parsed.
/// @param address `host:port` of the engine
void fetch_cache_events(http_client& http, const std::string& address, std::uint64_t after,
                        std::function<void(result<std::vector<cache_event>>)> done);

/// Fetches the status of an engine.
/// @param address `host:port` of the engine
void fetch_status(http_client& http, const std::string& address,
                  std::function<void(result<engine_status>)> done);

/// Uploads one verified chunk to an engine.
void upload_chunk(http_client& http, const std::string& address, const std::string& version,
                  std::size_t index, std::string content, std::function<void(result<bool>)> done);

/// Requests an engine to load a version and serve it.
///
/// Errors: `precondition_failed`, the engine accepted a request with a later fencing token;
/// `corrupt`, the engine reports incomplete or corrupt weights; `unavailable` or `outcome_unknown`,
/// no response, or one that does not name the version.
void request_load(http_client& http, const std::string& address, const load_request& load,
                  milliseconds timeout, std::function<void(result<bool>)> done);

} // namespace citronseam

#endif
