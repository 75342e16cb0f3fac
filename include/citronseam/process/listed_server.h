/// @file
/// A backend server as the platform lists it.
#ifndef CITRONSEAM_PROCESS_LISTED_SERVER_H
#define CITRONSEAM_PROCESS_LISTED_SERVER_H

#include <cstdint>
#include <string>

#include "citronseam/process/clock.h"

namespace citronseam {

/// One entry of the platform's list. It names the backend server by its identifier, since addresses
/// are used again.
struct listed_server {
    std::string id;
    std::string service;
    std::string address; ///< `host:port`
    std::string zone;
    std::uint32_t slots{1};
    bool is_draining{false};
    milliseconds cold_for{0};         ///< how much longer it is cold, when the entry was written
    std::uint64_t started_at_ms{0};   ///< Unix time of its start; 0 when it is not told
    std::uint64_t weights_version{0}; ///< of the whole model that it holds; 0: none
    std::uint64_t row_version{0};     ///< of the entry in the store
};

} // namespace citronseam

#endif
