/// @file
/// Hands the requests of one service to backend servers, in fair order.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_SERVICE_DISPATCHER_H
#define CITRONSEAM_PROGRAMS_ENTRY_SERVICE_DISPATCHER_H

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "citronseam/process/configuration.h"
#include "citronseam/request/balancer.h"
#include "citronseam/request/fair_queue.h"
#include "citronseam/request/prefix_table.h"
#include "citronseam/request/retry_budget.h"
#include "programs/entry/backend_server_link.h"

namespace citronseam {

class request_exchange;

/// The backend servers of a service as this entry sees them. Immutable once published.
struct service_snapshot {
    service_pool pool;
    std::unordered_map<const backend_server_load*, std::shared_ptr<backend_server_link>> links;
    std::unordered_map<std::uint64_t, preferred_server> by_number; ///< by connection
};

/// One service at one entry. All functions may be called from any thread.
class service_dispatcher {
public:
    /// @param name name of the service
    explicit service_dispatcher(std::string name);

    /// Takes the bounds and the policy of the service.
    void set_limits(const service& wanted);
    /// Takes the backend servers.
    void set_snapshot(std::shared_ptr<const service_snapshot> snapshot);

    /// Gives a request a backend server now, or a place in the queue, or refuses it at once.
    void submit(const std::shared_ptr<request_exchange>& exchange);
    /// Takes a waiting request out. @return whether it was waiting
    bool withdraw(const request_exchange& exchange);
    /// Gives waiting requests to backend servers that have room.
    void pump();
    /// Notes that a request left a backend server, and gives its place on.
    /// @param is_answered whether the answer was whole
    void note_finished(bool is_answered);
    /// Refuses waiting requests that can no longer be answered in time, and updates the rate.
    void tick(time_point now);

    /// @return whether a retry is within the budget; it is spent then
    bool spend_retry();
    /// Remembers which backend server got a prompt, so that its prefix cache can be used again.
    void note_prefix(std::uint64_t prefix, const backend_server_link& link);
    /// Takes what an engine says of its cache.
    void take_cache_report(const backend_server_link& link, const wire::cache_report& message);
    /// Drops the hints to a backend server whose connection closed.
    void forget_prefixes(const backend_server_link& link);

    /// @return time until a refused caller should come back
    milliseconds time_to_return();
    /// @return number of prompt beginnings whose holder this entry knows
    std::size_t known_prefixes() const;
    /// @return number of waiting requests
    std::size_t waiting() const;

private:
    using exchange_pointer = std::shared_ptr<request_exchange>;
    struct refused_request {
        exchange_pointer exchange;
        milliseconds retry_after;
    };

    std::shared_ptr<backend_server_link> choose(const request_exchange& exchange);
    preferred_server preferred_for(std::uint64_t prefix) const;
    bool is_hopeless(const request_exchange& exchange, time_point now) const;
    milliseconds expected_wait() const;
    void enqueue(const exchange_pointer& exchange, std::vector<refused_request>& refused);

    std::string name_;
    mutable std::mutex mutex_;
    std::shared_ptr<const service_snapshot> snapshot_;
    service_limits limits_;
    balancing_policy balancing_{balancing_policy::two_choices};
    std::uint64_t cursor_{0}; ///< for round robin
    fair_queue queue_;
    std::unordered_map<std::uint64_t, exchange_pointer> waiting_;
    retry_budget budget_;
    random_source random_;
    prefix_table prefixes_;
    std::uint64_t finished_{0}; ///< since the last tick
    double rate_{0};            ///< answers a second, moving average
    time_point last_tick_;
};

} // namespace citronseam

#endif
