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

using share_map = std::map<std::string, fair_queue::share>;

share_map::iterator longest_share(fair_queue& queue) {
    return std::max_element(
        queue.shares.begin(), queue.shares.end(),
        [](const auto& left, const auto& right) { return left.second.size < right.second.size; });
}

/// Removes the last request of the lowest priority.
queued_request take_last(fair_queue& queue, share_map::iterator entry) {
    auto& waiting = entry->second.waiting;
    const auto level = std::find_if(waiting.rbegin(), waiting.rend(),
                                    [](const auto& requests) { return !requests.empty(); });
    queued_request last = std::move(level->back());
    level->pop_back();
    --entry->second.size;
    --queue.size;
    return last;
}

/// Drops shares that neither wait nor owe. A share that was served ahead of the others keeps its
/// virtual time while it is empty, or it could jump the queue with one request at a time.
void forget_settled_shares(fair_queue& queue) {
    std::erase_if(queue.shares, [&](const auto& entry) {
        return entry.second.size == 0 && entry.second.virtual_time <= queue.virtual_now;
    });
}

bool is_served_before(const fair_queue::share& left, const fair_queue::share& right) noexcept {
    if (left.size == 0 || right.size == 0) {
        return left.size > right.size;
    }
    return left.virtual_time < right.virtual_time;
}

/// @return the share that is served next; it may be empty when all are
template<typename Shares>
auto next_share(Shares& shares) {
    return std::min_element(shares.begin(), shares.end(), [](const auto& left, const auto& right) {
        return is_served_before(left.second, right.second);
    });
}

/// @return the waiting requests of the highest priority; the share must not be empty
template<typename Share>
auto first_level(Share& share) {
    return std::find_if(share.waiting.begin(), share.waiting.end(),
                        [](const auto& requests) { return !requests.empty(); });
}

} // namespace

std::string_view name(request_priority priority) noexcept {
    return find_name(priority_names, priority);
}

request_priority parse_priority(std::string_view text) noexcept {
    return find_value(priority_names, text).value_or(request_priority::normal);
}

push_outcome push(fair_queue& queue, queued_request request) {
    push_outcome outcome;
    const auto known = queue.shares.find(request.workspace);
    const std::size_t waiting = known == queue.shares.end() ? 0 : known->second.size;
    if (waiting >= request.workspace_limit || queue.limit == 0) {
        return outcome;
    }
    if (queue.size >= queue.limit) {
        const auto longest = longest_share(queue);
        if (longest->second.size <= waiting + 1) {
            return outcome;
        }
        outcome.evicted = take_last(queue, longest);
    }
    fair_queue::share& share = queue.shares[request.workspace];
    if (share.size == 0) {
        // A workspace that was idle starts at the present: idleness earns no credit.
        share.virtual_time = std::max(share.virtual_time, queue.virtual_now);
    }
    ++share.size;
    ++queue.size;
    share.waiting[index_of(request.priority)].push_back(std::move(request));
    outcome.is_queued = true;
    return outcome;
}

const queued_request* peek(const fair_queue& queue) {
    const auto next = next_share(queue.shares);
    if (next == queue.shares.end() || next->second.size == 0) {
        return nullptr;
    }
    return &first_level(next->second)->front();
}

std::optional<queued_request> pop(fair_queue& queue) {
    const auto next = next_share(queue.shares);
    if (next == queue.shares.end() || next->second.size == 0) {
        return std::nullopt;
    }
    fair_queue::share& share = next->second;
    const auto level = first_level(share);
    queued_request request = std::move(level->front());
    level->pop_front();
    --share.size;
    --queue.size;
    queue.virtual_now = share.virtual_time;
    share.virtual_time += 1.0 / std::max<std::uint32_t>(request.weight, 1);
    forget_settled_shares(queue);
    return request;
}

bool remove(fair_queue& queue, const std::string& workspace, std::uint64_t id) {
    const auto entry = queue.shares.find(workspace);
    if (entry == queue.shares.end()) {
        return false;
    }
    for (auto& requests : entry->second.waiting) {
        const auto found = std::find_if(requests.begin(), requests.end(),
                                        [id](const auto& request) { return request.id == id; });
        if (found != requests.end()) {
            requests.erase(found);
            --entry->second.size;
            --queue.size;
            forget_settled_shares(queue);
            return true;
        }
    }
    return false;
}

std::vector<queued_request> take_expired(fair_queue& queue, time_point now) {
    std::vector<queued_request> expired;
    for (auto& entry : queue.shares) {
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
    forget_settled_shares(queue);
    return expired;
}

} // namespace citronseam
