/// @file
/// Starts a whole deployment as separate processes on loopback, for tests and the demonstration.
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

/// A backend server that the deployment starts, with its agent.
struct backend_server_plan {
    std::string name; ///< instance name of the agent
    std::string service;
    std::string availability_zone;
    bool is_engine{true};
    std::vector<std::string> arguments; ///< more arguments for the stand-in
};

/// What to start.
struct deployment_plan {
    std::vector<std::string> entry_zones{"zone-a", "zone-b"}; ///< one entry each
    std::vector<backend_server_plan> backend_servers;
    std::string configuration; ///< YAML text that is applied
    int list_lag_ms{0};
    std::uint64_t origin_rate{0}; ///< bytes a second, 0 is unlimited
    std::string weight_memory{"256MiB"};
    /// Timing of the control connections, as settings.
    std::string control{"control:\n  heartbeat_interval: 250ms\n  silence_timeout: 1500ms\n"
                        "  store_poll: 500ms\n  list_poll: 300ms\n"};
    /// Puts a relay before each entry's peer address and each daemon's table service.
    bool has_relays{false};
    /// Gives each region its own list of instances, in which entries of other regions stand with
    /// the address of a second relay, and puts relays before the object and weight stores.
    bool has_region_links{false};
};

/// A plan with two zones in two regions, two engines and one plain service.
deployment_plan small_plan();
/// Configuration text for the zones and services that tests use.
/// @param changes replaces texts, as {"in_service: true", "in_service: false"}
std::string test_configuration(const std::map<std::string, std::string>& changes = {});

/// Bytes that look like weights.
std::string make_weights(std::size_t size, std::uint64_t seed);

/// The processes of a deployment. All of them are ended, by pid, on destruction.
class deployment {
public:
    explicit deployment(deployment_plan plan);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts everything, applies the configuration and releases a small model for each engine
    /// service, then waits until all agents are ready.
    void start();
    /// Starts stand-ins and daemons without applying anything.
    void start_processes();
    /// Applies a configuration.
    void apply(const std::string& configuration);
    /// Waits until every agent is ready at every entry.
    /// @return whether that came within the bound
    bool wait_until_ready(milliseconds bound = milliseconds(20000));

    /// Runs the operators' tool.
    struct tool_result {
        int status{0};
        std::string output;
        std::string errors;
    };
    tool_result tool(std::vector<std::string> arguments);
    /// Runs the load tool and gives its JSON line.
    nlohmann::json load(std::vector<std::string> arguments);
    /// Starts the load tool; its JSON line is read by load_result().
    std::unique_ptr<child_process> start_load(std::vector<std::string> arguments);
    static nlohmann::json load_result(child_process& load);

    /// Sends one request to an entry.
    http_answer call(std::size_t entry, const std::string& method, const std::string& path,
                     const std::string& body = "", std::vector<http_header> headers = {},
                     milliseconds timeout = milliseconds(10000));
    /// Asks any HTTP address.
    http_answer ask(const std::string& method, const std::string& url, const std::string& body = "",
                    std::vector<http_header> headers = {},
                    milliseconds timeout = milliseconds(10000));
    /// Sets fault switches of a stand-in: "store", "weights", "instances" or a backend server.
    void set_faults(const std::string& standin, const nlohmann::json& switches);
    /// @return the record of a stand-in, of its earlier lives as well when it prints it
    nlohmann::json record(const std::string& standin);
    /// @return how many `run` events of a stand-in fit a field's value
    int count_runs(const std::string& standin, const std::string& field, const std::string& value);
    /// @return total `run` events with that field's value over all backend servers of a service
    int count_runs_of_service(const std::string& service, const std::string& field,
                              const std::string& value);
    /// @return status as an entry sees it
    nlohmann::json status(std::size_t entry = 0);

    /// Processes by name: stand-ins as above, "entry-0", agents by their instance name.
    child_process& process(const std::string& name);
    /// Starts a process again with the same settings.
    void restart(const std::string& name);
    /// Starts another process with the settings of one that still runs.
    /// @param second name of the new process
    void start_second(const std::string& name, const std::string& second);
    /// Starts a backend server again at the address it had.
    void restart_backend_server(const std::string& name);
    /// @return `host:port` of a process for that purpose: "http", "peer", "operator"
    std::string address(const std::string& name, const std::string& purpose) const;
    /// @return number of entries
    std::size_t entry_count() const { return plan_.entry_zones.size(); }
    /// @return number of agents
    std::size_t agent_count() const { return plan_.backend_servers.size(); }
    /// Releases weights of a size for a service.
    tool_result release(const std::string& service, std::size_t size, std::uint64_t seed);
    /// Starts one more backend server with its agent.
    void add_backend_server(const backend_server_plan& plan);
    /// Relays by name: "peer:entry-0", "store:agent-a".
    relay& link(const std::string& name) { return *relays_.at(name); }
    /// Cuts a region off from the platform and from all other regions, or joins it again. Needs
    /// `has_region_links`; weights are cut where the other regions' agents send them.
    void cut_region(const std::string& zone, bool is_cut);
    /// Lets the operators' tool reach one entry only.
    void use_one_entry(std::size_t entry) { tool_entry_ = entry; }
    /// Starts one more entry.
    void add_entry(const std::string& zone);

    /// Tells the platform's list of instances.
    void list_instance(const std::string& name, bool is_leaving = false);
    void unlist_instance(const std::string& name);

private:
    void start_platform();
    void start_entry(std::size_t index);
    void start_backend_server(const backend_server_plan& plan);
    void start_agent(const backend_server_plan& plan);
    std::string platform_settings(const std::string& name);
    std::string relayed(const std::string& link, const std::string& target);
    std::string list_name(const std::string& zone) const;
    std::vector<std::string> list_names() const;
    std::string entry_address_for(const std::string& entry, const std::string& list);
    std::string write_file(const std::string& name, const std::string& content);
    std::vector<std::string> tool_arguments() const;

    deployment_plan plan_;
    std::string folder_;
    http_client http_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
    std::map<std::string, std::map<std::string, std::string>> addresses_;
    std::map<std::string, std::unique_ptr<relay>> relays_;
    std::map<std::string, std::string> zones_;
    std::map<std::string, std::vector<std::string>> commands_;
    std::map<std::string, std::string> earlier_output_; ///< of stand-ins that were restarted
    std::optional<std::size_t> tool_entry_;
};

/// Waits until a condition holds.
/// @return whether it held within the bound
bool wait_until(const std::function<bool()>& condition, milliseconds bound);

} // namespace citronseam::harness

#endif
