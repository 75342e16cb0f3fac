#include "citronseam/process/memory_plan.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Parts of the memory, of 112 MB in MB. The rest, 39 MB, is for the process itself.
constexpr std::uint64_t parts = 112;
constexpr std::uint64_t received_parts = 16;
constexpr std::uint64_t unsent_parts = 14;
constexpr std::uint64_t unsent_internal_parts = 1;
constexpr std::uint64_t client_parts = 16;
/// A message may be 4 MiB long, its buffer twice that, and it must leave as much free.
constexpr std::uint64_t peer_frame_parts = 18;
constexpr std::uint64_t peer_queue_parts = 6;

/// Listeners of a gateway that are not for callers.
constexpr std::size_t internal_listeners = 3;

std::size_t part_of(std::uint64_t memory_bytes, std::uint64_t count, std::size_t most) noexcept {
    return std::min<std::uint64_t>(memory_bytes / parts * count, most);
}

} // namespace

memory_plan make_memory_plan(std::uint64_t memory_bytes) noexcept {
    memory_plan plan;
    if (memory_bytes == 0) {
        return plan;
    }
    plan.received_requests = part_of(memory_bytes, received_parts, plan.received_requests);
    plan.unsent_responses = part_of(memory_bytes, unsent_parts, plan.unsent_responses);
    plan.unsent_internal = part_of(memory_bytes, unsent_internal_parts, plan.unsent_internal);
    plan.client_buffers = part_of(memory_bytes, client_parts, plan.client_buffers);
    plan.peer_frames = part_of(memory_bytes, peer_frame_parts, plan.peer_frames);
    plan.peer_queue = part_of(memory_bytes, peer_queue_parts, plan.peer_queue);
    return plan;
}

std::size_t total_bytes(const memory_plan& plan) noexcept {
    return plan.received_requests + plan.unsent_responses +
           internal_listeners * plan.unsent_internal + plan.client_buffers + plan.peer_frames +
           plan.peer_queue;
}

} // namespace citronseam
