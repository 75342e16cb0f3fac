/// @file
/// One soak run: a deployment under a series of faults, with callers.
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
#include "soak/promise_log.h"
#include "soak/soak_plan.h"

namespace citronseam::soak {

/// Starts two gateways in each of two zones, with proxies before the store and the servers.
class soak_run {
public:
    soak_run(std::uint64_t seed, milliseconds duration);
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
    std::map<std::string, int> count_runs() const;
    void call_until_stopped(std::size_t caller);
    void stop_callers();
    void keep_logs(target_kind target, std::size_t index);
    void print_traces();

    const std::uint64_t seed_;
    const milliseconds duration_;
    promise_log log_;
    harness::platform_world world_;
    std::vector<std::unique_ptr<fault_proxy>> engine_proxies_;
    std::vector<std::unique_ptr<fault_proxy>> desk_proxies_;
    std::vector<std::unique_ptr<fault_proxy>> store_proxies_;
    std::map<std::string, bool> is_ending_;         ///< processes that were told to end
    std::map<std::string, std::string> ended_logs_; ///< of earlier processes, by name
    std::atomic<bool> is_stopping_{false};
    std::vector<std::thread> callers_;
};

} // namespace citronseam::soak

#endif
