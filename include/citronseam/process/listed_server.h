/// @file
/// A backend server as registered in the platform's store.
#ifndef CITRONSEAM_PROCESS_LISTED_SERVER_H
#define CITRONSEAM_PROCESS_LISTED_SERVER_H

#include <cstdint>
#include <string>

#include "citronseam/process/clock.h"

namespace citronseam {

/// One row of the platform's server list. A backend server is identified by `id`, since addresses
/// are reused.
struct listed_server {
    std::string id;
    std::string service;
    std::string address; ///< `host:port`
    std::string zone;
    std::uint32_t slots{1}; ///< requests that it processes at once
    bool is_draining{false};
    milliseconds remaining_cold_time{
        0};                         ///< time until it is warm, counted from the writing of the row
    std::uint64_t started_at_ms{0}; ///< Unix time of its start; 0 when unknown
    std::uint64_t weights_version{
        0};                       ///< version of the complete weights that it has loaded; 0: none
    std::uint64_t row_version{0}; ///< version of the row in the store
};

/// @return whether two rows of a server differ in nothing but its heartbeat
inline bool is_same_registration(const listed_server& left, const listed_server& right) {
    return left.id == right.id && left.service == right.service && left.address == right.address &&
           left.zone == right.zone && left.slots == right.slots &&
           left.is_draining == right.is_draining && left.started_at_ms == right.started_at_ms &&
           left.weights_version == right.weights_version;
}

} // namespace citronseam

#endif
