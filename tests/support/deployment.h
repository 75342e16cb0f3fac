/// @file
/// Runs a complete deployment as separate processes on loopback, for tests and the demo.
#ifndef CITRONSEAM_TESTS_SUPPORT_DEPLOYMENT_H
#define CITRONSEAM_TESTS_SUPPORT_DEPLOYMENT_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/clock.h"
#include "support/child_process.h"
#include "support/relay.h"

namespace citronseam::harness {

/// A backend server of the deployment, with its agent.
struct backend_server_plan {
    std::string name; ///< instance name of the agent
    std::string service;
    std::string availability_zone;
    bool is_engine{true};
    std::vector<std::string> arguments; ///< extra arguments of citronseam-standin
    std::string address{}; ///< `host:port` of a server that the test runs; empty: a stand-in
};

/// Processes and settings of a deployment.
struct deployment_plan {
    std::vector<std::string> entry_zones{"zone-a", "zone-b"}; ///< one entry is started per element
    std::vector<backend_server_plan> backend_servers;
    std::string configuration; ///< YAML, applied by start()
    int instance_list_lag_ms{0};
    std::uint64_t origin_bytes_per_second{0}; ///< 0 means unlimited
    std::string weight_memory{"256MiB"};
    /// YAML of the `control` settings: timing of the control connections.
    std::string control_yaml{"control:\n  heartbeat_interval: 250ms\n  silence_timeout: 1500ms\n"
                             "  store_poll: 500ms\n  list_poll: 300ms\n"};
    /// Puts a fault-injecting proxy in front of each entry's peer address, each agent's chunk
    /// address and the table service of each daemon.
    bool has_proxies{false};
    /// Also puts proxies in front of the object and weight stores, and gives each region its own
    /// instance list, which names a second proxy for each entry of another region. Needs
    /// `has_proxies`.
    bool can_partition_regions{false};
};

/// @return a plan with two zones in two regions, two engines and one plain backend server
deployment_plan small_deployment_plan();
/// @param replacements texts whose first occurrence is replaced, such as
///        {"in_service: true", "in_service: false"}
/// @return YAML configuration with the zones and services that tests use
/// @throws std::invalid_argument if a text does not occur
std::string test_configuration(const std::map<std::string, std::string>& replacements = {});

/// @return pseudorandom bytes, for use as weights
std::string random_weights(std::size_t size, std::uint64_t seed);

/// The processes of a deployment. The destructor kills all of them by pid.
class deployment {
public:
    explicit deployment(deployment_plan plan);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts all processes, applies the configuration, releases a small model to each engine
    /// service and waits until all agents are ready.
    /// @throws std::runtime_error if any of this fails
    void start();
    /// Starts the stand-ins and daemons without applying a configuration.
    void start_processes();
    /// Applies a configuration.
    /// @throws std::runtime_error if the command-line tool reports an error
    void apply(const std::string& configuration);
    /// Waits until every entry reports every agent as ready.
    /// @return false on timeout
    bool wait_until_ready(milliseconds timeout = milliseconds(20000));

    /// Result of a run of the command-line tool.
    struct tool_result {
        int status{0};
        std::string output;
        std::string errors;
    };
    /// Runs the command-line tool `citronseam`.
    tool_result run_tool(std::vector<std::string> arguments);
    /// Runs the load generator.
    /// @return its JSON result
    nlohmann::json load(std::vector<std::string> arguments);
    /// Starts the load generator; wait_for_load_result() waits for its result.
    std::unique_ptr<child_process> start_load(std::vector<std::string> arguments);
    /// Waits until the load generator prints its result.
    /// @return the JSON result, a discarded value on timeout
    static nlohmann::json wait_for_load_result(child_process& load);

    /// Sends a request to an entry and waits for the response.
    http_response call(std::size_t entry, const std::string& method, const std::string& path,
                       const std::string& body = "", std::vector<http_header> headers = {},
                       milliseconds timeout = milliseconds(10000));
    /// Sends a request to any URL and waits for the response.
    http_response send_http_request(const std::string& method, const std::string& url,
                                    const std::string& body = "",
                                    std::vector<http_header> headers = {},
                                    milliseconds timeout = milliseconds(10000));
    /// Sets the fault switches of a stand-in, given by its process name.
    void set_faults(const std::string& standin, const nlohmann::json& switches);
    /// @return events that a stand-in recorded; with `--print-record` also those before a restart
    nlohmann::json recorded_events(const std::string& standin);
    /// @return number of `run` events of a stand-in whose field has that value
    int count_runs(const std::string& standin, const std::string& field, const std::string& value);
    /// @return number of `run` events with that value over all backend servers of a service
    int count_runs_of_service(const std::string& service, const std::string& field,
                              const std::string& value);
    /// @return status of the deployment as an entry reports it
    nlohmann::json status(std::size_t entry = 0);

    /// @param name "store", "weights", "instances", "entry-0", an agent's instance name, or the
    ///        latter with "-server" for its backend server
    /// @throws std::out_of_range if there is no such process
    child_process& process(const std::string& name);
    /// Starts a process with the settings it had, after killing it if it still runs.
    void restart(const std::string& name);
    /// Starts a second process with the settings of one that still runs.
    /// @param second name of the new process in this deployment
    void start_duplicate(const std::string& name, const std::string& second);
    /// Restarts a backend server at its previous address.
    void restart_backend_server(const std::string& name);
    /// @param purpose "http", "peer" or "operator"
    /// @return `host:port` on which the process listens for that purpose
    std::string address(const std::string& name, const std::string& purpose) const;
    /// @return number of entries
    std::size_t entry_count() const { return plan_.entry_zones.size(); }
    /// @return number of agents
    std::size_t agent_count() const { return plan_.backend_servers.size(); }
    /// Releases pseudorandom weights to a service.
    tool_result release(const std::string& service, std::size_t size, std::uint64_t seed);
    /// Starts another backend server with its agent.
    void add_backend_server(const backend_server_plan& plan);
    /// @param name purpose and process, such as "store:agent-a". Purposes: "store", "objects" and
    ///        "weights" (platform connections of a daemon), "peer" and "far" (peer address of an
    ///        entry, for its own and for other regions), "swarm" (chunk address of an agent)
    relay& proxy(const std::string& name) { return *proxies_.at(name); }
    /// Simulates a network partition of a region: cuts it off from the platform and from all other
    /// regions, or reconnects it. Chunks are cut at the proxies of the agents in other regions.
    /// Needs `can_partition_regions`.
    void set_region_partitioned(const std::string& zone, bool is_partitioned);
    /// Passes only this entry's address to the command-line tool.
    void limit_tool_to_entry(std::size_t entry) { only_tool_entry_ = entry; }
    /// Starts another entry.
    void add_entry(const std::string& zone);

    /// Adds a process to the platform's instance list, or updates its row.
    void register_instance(const std::string& name, bool is_leaving = false);
    /// Removes a process from the platform's instance list.
    void deregister_instance(const std::string& name);

private:
    void start_platform();
    void start_entry(std::size_t index);
    void start_backend_server(const backend_server_plan& plan);
    void start_agent(const backend_server_plan& plan);
    std::string platform_settings(const std::string& name);
    std::string proxied_address(const std::string& proxy_name, const std::string& target);
    std::string instance_list_name(const std::string& zone) const;
    std::vector<std::string> instance_list_names() const;
    std::string entry_peer_address(const std::string& entry, const std::string& list);
    std::string write_file(const std::string& name, const std::string& content);
    std::vector<std::string> tool_arguments() const;

    deployment_plan plan_;
    std::string directory_;
    http_client http_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
    std::map<std::string, std::map<std::string, std::string>> addresses_;
    std::map<std::string, std::unique_ptr<relay>> proxies_;
    std::map<std::string, std::string> zones_;
    std::map<std::string, std::vector<std::string>> commands_;
    std::map<std::string, std::string> output_before_restart_; ///< per process
    std::optional<std::size_t> only_tool_entry_;
};

/// Polls a condition until it holds.
/// @return false on timeout
bool wait_until(const std::function<bool()>& condition, milliseconds timeout);

} // namespace citronseam::harness

#endif
