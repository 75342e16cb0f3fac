/// @file
/// Bounded queue of waiting requests, fair between workspaces.
///
/// Start-time fair queueing: each workspace has a virtual time that advances by 1/weight for each
/// request it gets served; the workspace with the smallest virtual time is next. Inside a workspace
/// the higher priority goes first, then the earlier request.
#ifndef CITRONSEAM_REQUEST_FAIR_QUEUE_H
#define CITRONSEAM_REQUEST_FAIR_QUEUE_H

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Priority inside a workspace.
enum class request_priority : std::uint8_t { high, normal, low };
/// @return the name of a priority as written in requests and metrics
std::string_view name(request_priority priority) noexcept;
/// @return the priority of that name, normal for any other word
request_priority parse_priority(std::string_view text) noexcept;

/// One waiting request.
struct queued_request {
    std::uint64_t id{0};
    std::string workspace;
    std::uint32_t weight{1};           ///< of the workspace
    std::uint32_t workspace_limit{64}; ///< requests of the workspace that may wait
    request_priority priority{request_priority::normal};
    time_point deadline; ///< after this an answer is of no use
};

/// State of a queue.
struct fair_queue {
    static constexpr std::size_t priority_count = 3;

    /// Waiting requests of one workspace.
    struct share {
        std::array<std::deque<queued_request>, priority_count> waiting;
        double virtual_time{0};
        std::size_t size{0};
    };

    std::map<std::string, share> shares;
    double virtual_now{0};
    std::size_t size{0};
    std::size_t limit{256};
};

/// What push() did.
struct push_outcome {
    bool is_queued{false};
    std::optional<queued_request> evicted; ///< a request that had to make room
};

/// Adds a request. A full queue makes room for a workspace that waits for less than its share by
/// evicting the last request of the workspace that waits for most.
push_outcome push(fair_queue& queue, queued_request request);

/// @return the request that pop() would take, or nullptr when the queue is empty
const queued_request* peek(const fair_queue& queue);

/// @return the next request, or nothing when the queue is empty
std::optional<queued_request> pop(fair_queue& queue);

/// Takes a request out, as when its caller hung up.
/// @return whether it was there
bool remove(fair_queue& queue, const std::string& workspace, std::uint64_t id);

/// Takes out all requests whose deadline has passed.
std::vector<queued_request> take_expired(fair_queue& queue, time_point now);

} // namespace citronseam

#endif
