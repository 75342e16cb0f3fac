/// @file
/// One soak run: a deployment under a series of faults and planned work, with callers.
#ifndef CITRONSEAM_TESTS_SOAK_SOAK_RUN_H
#define CITRONSEAM_TESTS_SOAK_SOAK_RUN_H

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/platform_world.h"

#include "soak/fault_proxy.h"
#include "soak/planned_work.h"
#include "soak/promise_log.h"
#include "soak/soak_plan.h"
#include "soak/timeline.h"

namespace citronseam::soak {

/// What a run is started with.
struct soak_options {
    std::uint64_t seed{0};
    milliseconds duration{0};
    std::size_t gateways_per_zone{2};
    std::string log_directory; ///< where the run leaves all logs; empty: nowhere
};

/// Starts gateways in each of two zones, with proxies before the store, the gateways' peer
/// addresses, the servers and the origin.
class soak_run {
public:
    explicit soak_run(const soak_options& options);
    ~soak_run();
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;

    /// Plays the faults and checks the promises.
    /// @return whether all promises were kept and each kind of request had successes
    bool run();

private:
    void play();
    void begin(const planned_fault& fault);
    void end(const planned_fault& fault);
    fault_proxy& proxy_of(const planned_fault& fault);
    harness::child_process& process_of(target_kind target, std::size_t index);
    void replace(target_kind target, std::size_t index);
    void check_processes();
    void check_process(target_kind target, std::size_t index);
    void check_runs();
    void check_loads();
    std::string add_store_address();
    void watch_arrivals(harness::platform_server& server, fault_target link);
    void check_exchange(const timed_exchange& exchange);
    std::size_t faulty_gateway_count() const;
    std::map<std::string, int> count_runs() const;
    void call_until_stopped(std::size_t caller);
    void stop_callers();
    void keep_logs(target_kind target, std::size_t index);
    std::map<std::string, std::string> logs();
    void print_traces();
    void write_logs();

    const soak_options options_;
    promise_log log_;
    timeline timeline_;
    harness::platform_world world_;
    std::vector<std::unique_ptr<fault_proxy>> engine_proxies_;
    std::vector<std::unique_ptr<fault_proxy>> desk_proxies_;
    std::vector<std::unique_ptr<fault_proxy>> store_proxies_;
    std::vector<std::unique_ptr<fault_proxy>> peer_proxies_;
    std::vector<std::unique_ptr<fault_proxy>> sidecar_store_proxies_;
    std::vector<std::unique_ptr<fault_proxy>> origin_proxies_;
    planned_work planned_work_;
    std::map<std::string, bool> is_ending_;         ///< processes that were told to end
    std::map<std::string, std::string> ended_logs_; ///< of earlier processes, by name
    std::atomic<bool> is_stopping_{false};
    std::vector<std::thread> callers_;
};

} // namespace citronseam::soak

#endif
