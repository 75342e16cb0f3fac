/// @file
/// Orders to a model engine and its status, by its HTTP interface.
#ifndef CITRONSEAM_PROGRAMS_AGENT_ENGINE_CLIENT_H
#define CITRONSEAM_PROGRAMS_AGENT_ENGINE_CLIENT_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/error.h"

namespace citronseam {

/// What an engine says of itself.
struct engine_status {
    std::string version; ///< identity of the version in force, empty for none
    std::string boot;    ///< changes when the engine's process starts anew
    bool is_warm{false};
    bool is_loading{false}; ///< an order is being carried out
};

/// An order to put a version in force.
struct load_order {
    std::string version;
    std::string manifest;     ///< canonical text
    std::uint64_t fencing{0}; ///< generation of the configuration that asks for it
};

/// One event of an engine's prefix cache.
struct cache_event {
    std::uint64_t number{0}; ///< counts from 1 in each life of the engine's process
    std::uint64_t key{0};    ///< hash of the prompt's beginning, as the request named it
    bool is_stored{false};   ///< stored or evicted
};

/// Asks an engine for its cache events after a number. Engines publish late and leave some out.
///
/// Errors: `unavailable`, no answer; `protocol`, an answer that cannot be read.
/// @param address `host:port` of the engine
void ask_cache_events(http_client& http, const std::string& address, std::uint64_t after,
                      std::function<void(result<std::vector<cache_event>>)> done);

/// Asks an engine for its status.
/// @param address `host:port` of the engine
void ask_status(http_client& http, const std::string& address,
                std::function<void(result<engine_status>)> done);

/// Hands one verified chunk to an engine.
void send_chunk(http_client& http, const std::string& address, const std::string& version,
                std::size_t index, std::string content, std::function<void(result<bool>)> done);

/// Orders an engine to put a version in force.
///
/// Errors: `precondition_failed`, the engine took an order with a later number; `corrupt`, the
/// engine found the weights not whole; `unavailable` or `outcome_unknown`, no answer.
void order_load(http_client& http, const std::string& address, const load_order& order,
                milliseconds timeout, std::function<void(result<bool>)> done);

} // namespace citronseam

#endif
