#include "citronseam/request/fair_queue.h"

#include <algorithm>

#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<request_priority>, 3> priority_names{{
    {request_priority::high, "high"},
    {request_priority::normal, "normal"},
    {request_priority::low, "low"},
}};

std::size_t index_of(request_priority priority) noexcept {
    return static_cast<std::size_t>(priority);
}

using workspace_queue_map = std::map<std::string, fair_queue::workspace_queue>;

workspace_queue_map::iterator longest_queue(fair_queue& queue) {
    return std::max_element(
        queue.workspace_queues.begin(), queue.workspace_queues.end(),
        [](const auto& left, const auto& right) { return left.second.size < right.second.size; });
}

/// Removes the last request of the lowest priority.
queued_request evict_last(fair_queue& queue, workspace_queue_map::iterator entry) {
    auto& waiting = entry->second.waiting;
    const auto level = std::find_if(waiting.rbegin(), waiting.rend(),
                                    [](const auto& requests) { return !requests.empty(); });
    queued_request last = std::move(level->back());
    level->pop_back();
    --entry->second.size;
    --queue.size;
    return last;
}

/// Removes empty workspace queues whose virtual time is not ahead of the current one. The others
/// keep their virtual time while empty; otherwise a workspace that sends one request at a time
/// would be served before the waiting ones.
void erase_idle_queues(fair_queue& queue) {
    std::erase_if(queue.workspace_queues, [&](const auto& entry) {
        return entry.second.size == 0 && entry.second.virtual_time <= queue.virtual_now;
    });
}

bool is_served_before(const fair_queue::workspace_queue& left,
                      const fair_queue::workspace_queue& right) noexcept {
    if (left.size == 0 || right.size == 0) {
        return left.size > right.size;
    }
    return left.virtual_time < right.virtual_time;
}

/// @return the workspace queue that is served next; it is empty only when all are
template<typename Queues>
auto next_queue(Queues& workspace_queues) {
    return std::min_element(workspace_queues.begin(), workspace_queues.end(),
                            [](const auto& left, const auto& right) {
                                return is_served_before(left.second, right.second);
                            });
}

/// @return the waiting requests of the highest priority; the workspace queue must not be empty
template<typename Queue>
auto highest_priority_level(Queue& workspace_queue) {
    return std::find_if(workspace_queue.waiting.begin(), workspace_queue.waiting.end(),
                        [](const auto& requests) { return !requests.empty(); });
}

} // namespace

std::string_view name(request_priority priority) noexcept {
    return find_name(priority_names, priority);
}

request_priority parse_priority(std::string_view text) noexcept {
    return find_value(priority_names, text).value_or(request_priority::normal);
}

push_result push(fair_queue& queue, queued_request request) {
    push_result outcome;
    const auto known = queue.workspace_queues.find(request.workspace);
    const std::size_t waiting = known == queue.workspace_queues.end() ? 0 : known->second.size;
    if (waiting >= request.workspace_limit || queue.limit == 0) {
        return outcome;
    }
    if (queue.size >= queue.limit) {
        const auto longest = longest_queue(queue);
        if (longest->second.size <= waiting + 1) {
            return outcome;
        }
        outcome.evicted = evict_last(queue, longest);
    }
    fair_queue::workspace_queue& workspace_queue = queue.workspace_queues[request.workspace];
    if (workspace_queue.size == 0) {
        // An idle workspace resumes at the current virtual time, so idle time earns no credit.
        workspace_queue.virtual_time = std::max(workspace_queue.virtual_time, queue.virtual_now);
    }
    ++workspace_queue.size;
    ++queue.size;
    workspace_queue.waiting[index_of(request.priority)].push_back(std::move(request));
    outcome.is_queued = true;
    return outcome;
}

void put_back(fair_queue& queue, queued_request request) {
    fair_queue::workspace_queue& workspace_queue = queue.workspace_queues[request.workspace];
    if (workspace_queue.size == 0) {
        workspace_queue.virtual_time = std::max(workspace_queue.virtual_time, queue.virtual_now);
    }
    ++workspace_queue.size;
    ++queue.size;
    workspace_queue.waiting[index_of(request.priority)].push_front(std::move(request));
}

const queued_request* peek(const fair_queue& queue) {
    const auto next = next_queue(queue.workspace_queues);
    if (next == queue.workspace_queues.end() || next->second.size == 0) {
        return nullptr;
    }
    return &highest_priority_level(next->second)->front();
}

std::optional<queued_request> pop(fair_queue& queue) {
    const auto next = next_queue(queue.workspace_queues);
    if (next == queue.workspace_queues.end() || next->second.size == 0) {
        return std::nullopt;
    }
    fair_queue::workspace_queue& workspace_queue = next->second;
    const auto level = highest_priority_level(workspace_queue);
    queued_request request = std::move(level->front());
    level->pop_front();
    --workspace_queue.size;
    --queue.size;
    queue.virtual_now = workspace_queue.virtual_time;
    workspace_queue.virtual_time += 1.0 / std::max<std::uint32_t>(request.weight, 1);
    erase_idle_queues(queue);
    return request;
}

bool remove(fair_queue& queue, const std::string& workspace, std::uint64_t id) {
    const auto entry = queue.workspace_queues.find(workspace);
    if (entry == queue.workspace_queues.end()) {
        return false;
    }
    for (auto& requests : entry->second.waiting) {
        const auto found = std::find_if(requests.begin(), requests.end(),
                                        [id](const auto& request) { return request.id == id; });
        if (found != requests.end()) {
            requests.erase(found);
            --entry->second.size;
            --queue.size;
            erase_idle_queues(queue);
            return true;
        }
    }
    return false;
}

std::vector<queued_request> remove_expired(fair_queue& queue, time_point now) {
    std::vector<queued_request> expired;
    for (auto& entry : queue.workspace_queues) {
        for (auto& requests : entry.second.waiting) {
            for (auto request = requests.begin(); request != requests.end();) {
                if (request->deadline > now) {
                    ++request;
                    continue;
                }
                expired.push_back(std::move(*request));
                request = requests.erase(request);
                --entry.second.size;
                --queue.size;
            }
        }
    }
    erase_idle_queues(queue);
    return expired;
}

} // namespace citronseam
