/// @file
/// Dependencies of a chunk_swarm on its process.
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

/// The referenced objects must outlive the swarm.
struct swarm_context {
    std::string instance;
    std::string service; ///< only processes of the same service exchange chunks
    std::string address; ///< `host:port` to listen on
    wire::role role{wire::role::agent};
    session_timing timing;
    std::uint64_t weight_memory{0}; ///< maximum bytes of chunks held in memory
    io_thread_pool& control;
    io_thread_pool& traffic; ///< runs the connections
    metrics& metric_registry;
    http_client& http; ///< for requests to the origin
    /// @return the request that fetches a chunk from the origin
    std::function<http_request(const manifest& list, std::size_t chunk)> make_origin_request;
    /// Adds the bytes of a connection to the metrics, called for each heartbeat; may be empty.
    std::function<void(peer_session&)> count_bytes;
};

} // namespace citronseam

#endif
