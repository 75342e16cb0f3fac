/// @file
/// Assigns the requests of one service to backend servers, using a fair queue.
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

/// The backend servers of a service that are connected to this entry. Immutable once published.
struct service_snapshot {
    service_pool pool;
    std::unordered_map<const backend_server_load*, std::shared_ptr<backend_server_link>> links;
    std::unordered_map<std::uint64_t, preferred_server> by_session; ///< by session number
};

/// Dispatches the requests of one service at one entry. Thread-safe.
class service_dispatcher {
public:
    /// @param name name of the service
    explicit service_dispatcher(std::string name);

    /// Sets the limits and the balancing policy of the service.
    void set_limits(const service& definition);
    /// Replaces the set of backend servers and dispatches waiting requests.
    void set_snapshot(std::shared_ptr<const service_snapshot> snapshot);

    /// Dispatches a request to a backend server, queues it, or refuses it immediately.
    void submit(const std::shared_ptr<request_exchange>& exchange);
    /// Dispatches a request again that an agent did not take, or puts it back into the queue.
    void resubmit(const std::shared_ptr<request_exchange>& exchange);
    /// Removes a request from the queue.
    /// @return whether it was waiting
    bool remove_waiting(const request_exchange& exchange);
    /// Dispatches waiting requests to backend servers with free capacity.
    void dispatch_waiting();
    /// Records the end of an attempt and dispatches waiting requests to the freed capacity.
    /// @param is_answered whether the response was complete
    void handle_attempt_end(bool is_answered);
    /// Refuses waiting requests whose deadline has passed, and updates the completion rate.
    void tick(time_point now);

    /// Spends one retry of the retry budget.
    /// @return false when the budget is exhausted
    bool try_spend_retry();
    /// Records which backend server served a prompt, so that its prefix cache can be reused.
    void record_prefix(std::uint64_t prefix, const backend_server_link& link);
    /// Updates the prefix table from an engine's cache report.
    void handle_cache_report(const backend_server_link& link, const wire::cache_report& message);
    /// Removes the prefixes of a backend server whose connection closed.
    void remove_prefix_hints(const backend_server_link& link);

    /// @return time after which a refused caller should retry
    milliseconds retry_after_hint();
    /// @return number of prompt prefixes with a known backend server
    std::size_t prefix_count() const;
    /// @return number of waiting requests
    std::size_t waiting() const;

private:
    using exchange_pointer = std::shared_ptr<request_exchange>;
    struct refused_request {
        exchange_pointer exchange;
        milliseconds retry_after;
    };

    std::shared_ptr<backend_server_link> choose_link(const request_exchange& exchange);
    preferred_server find_preferred_server(std::uint64_t prefix) const;
    bool is_deadline_unreachable(const request_exchange& exchange, time_point now) const;
    milliseconds expected_wait() const;
    void enqueue(const exchange_pointer& exchange, std::vector<refused_request>& refused);

    std::string name_;
    mutable std::mutex mutex_;
    std::shared_ptr<const service_snapshot> snapshot_;
    service_limits limits_;
    balancing_policy balancing_{balancing_policy::two_choices};
    std::uint64_t round_robin_cursor_{0};
    fair_queue queue_;
    std::unordered_map<std::uint64_t, exchange_pointer> waiting_;
    retry_budget retry_budget_;
    random_source random_;
    prefix_table prefixes_;
    std::uint64_t finished_since_tick_{0};
    double completions_per_second_{0}; ///< exponential moving average
    time_point last_tick_;
};

} // namespace citronseam

#endif
