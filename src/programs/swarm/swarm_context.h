/// @file
/// What a chunk_swarm needs of the process that it is part of.
#ifndef CITRONSEAM_PROGRAMS_SWARM_SWARM_CONTEXT_H
#define CITRONSEAM_PROGRAMS_SWARM_SWARM_CONTEXT_H

#include <cstdint>
#include <functional>
#include <string>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/peer_session.h"
#include "citronseam/connection/wire_message.h"
#include "citronseam/process/metrics.h"
#include "citronseam/version/manifest.h"

namespace citronseam {

/// The parts outlive the swarm.
struct swarm_context {
    std::string instance;
    std::string service; ///< only processes of the same service exchange chunks
    std::string address; ///< `host:port` to listen on
    wire::role role{wire::role::agent};
    session_timing timing;
    std::uint64_t weight_memory{0}; ///< bytes that chunks may take
    io_threads& control;
    io_threads& traffic; ///< carries the connections
    metrics& numbers;
    http_client& http; ///< exchanges with the origin
    /// @return the request that draws a chunk from the origin
    std::function<http_request(const manifest& list, std::size_t chunk)> make_draw;
    /// Counts the bytes of a connection that closed; may be empty.
    std::function<void(peer_session&)> count_bytes;
};

} // namespace citronseam

#endif
