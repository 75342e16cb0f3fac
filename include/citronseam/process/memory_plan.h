/// @file
/// Divides the memory of a machine between what a process holds for others.
#ifndef CITRONSEAM_PROCESS_MEMORY_PLAN_H
#define CITRONSEAM_PROCESS_MEMORY_PLAN_H

#include <cstddef>
#include <cstdint>

#include "citronseam/process/sizes.h"

namespace citronseam {

/// Limits on what a process holds, in bytes. The defaults are for a process that does not know the
/// memory of its machine.
struct memory_plan {
    std::size_t received_requests{48 * mebibyte}; ///< of all listeners, until their responses end
    std::size_t unsent_responses{64 * mebibyte};  ///< that callers have yet to read
    std::size_t unsent_internal{8 * mebibyte};    ///< of each listener that is not for callers
    std::size_t client_buffers{32 * mebibyte};    ///< responses that an HTTP client collects
    std::size_t peer_frames{32 * mebibyte};       ///< large messages that peers are sending
    std::size_t peer_queue{64 * mebibyte};        ///< messages that wait for one peer
};

/// @param memory_bytes memory that the process may use; 0 if it is not known
memory_plan make_memory_plan(std::uint64_t memory_bytes) noexcept;

/// @return what a gateway may hold at most by the plan. Messages that wait for several peers are
///         the same objects, so they count once.
std::size_t total_bytes(const memory_plan& plan) noexcept;

} // namespace citronseam

#endif
