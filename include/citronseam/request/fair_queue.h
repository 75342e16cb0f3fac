/// @file
/// Bounded queue of waiting requests, fair across workspaces.
///
/// Start-time fair queueing: each workspace has a virtual time that advances by 1/weight for each
/// of its requests that is served; the workspace with the smallest virtual time is next. Within a
/// workspace, requests are ordered by priority and then by arrival.
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

/// Priority within a workspace.
enum class request_priority : std::uint8_t { high, normal, low };
/// @return the name of a priority as written in requests and metrics
std::string_view name(request_priority priority) noexcept;
/// @return the priority with that name, normal for unknown names
request_priority parse_priority(std::string_view text) noexcept;

/// One waiting request.
struct queued_request {
    std::uint64_t id{0};
    std::string workspace;
    std::uint32_t weight{1};           ///< of the workspace
    std::uint32_t workspace_limit{64}; ///< maximum number of waiting requests of the workspace
    request_priority priority{request_priority::normal};
    time_point deadline; ///< after this time a response is useless
};

/// State of a queue.
struct fair_queue {
    static constexpr std::size_t priority_count = 3;

    /// Waiting requests of one workspace.
    struct workspace_queue {
        std::array<std::deque<queued_request>, priority_count> waiting;
        double virtual_time{0};
        std::size_t size{0};
    };

    std::map<std::string, workspace_queue> workspace_queues;
    double virtual_now{0};
    std::size_t size{0};
    std::size_t limit{256};
};

/// Result of push().
struct push_result {
    bool is_queued{false};
    std::optional<queued_request> evicted; ///< request that was removed to make room
};

/// Adds a request. When the queue is full, the last request of the workspace with the most waiting
/// requests is evicted, unless the new request's workspace would then have more waiting than it.
push_result push(fair_queue& queue, queued_request request);

/// Puts a request back that was taken and could not be run. It is the next one of its workspace and
/// priority, and no limit refuses it: it had its place.
void put_back(fair_queue& queue, queued_request request);

/// @return the request that pop() would take, or nullptr when the queue is empty
const queued_request* peek(const fair_queue& queue);

/// @return the next request, or nothing when the queue is empty
std::optional<queued_request> pop(fair_queue& queue);

/// Removes a request, for example when its caller disconnected.
/// @return whether the request was queued
bool remove(fair_queue& queue, const std::string& workspace, std::uint64_t id);

/// Removes and returns all requests whose deadline has passed.
std::vector<queued_request> remove_expired(fair_queue& queue, time_point now);

} // namespace citronseam

#endif
