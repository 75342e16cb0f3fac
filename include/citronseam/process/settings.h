/// @file
/// Settings of one process: its role, its listen addresses and the addresses of the platform.
#ifndef CITRONSEAM_PROCESS_SETTINGS_H
#define CITRONSEAM_PROCESS_SETTINGS_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/error.h"
#include "citronseam/process/file_problem.h"

namespace citronseam {

/// Role of a daemon.
enum class process_role : std::uint8_t {
    entry,   ///< accepts requests from callers
    agent,   ///< runs beside one backend server and controls access to it
    gateway, ///< accepts requests from callers, on the users' platform
    sidecar  ///< runs beside one model engine, on the users' platform
};

/// @return the name of a role as written in settings
std::string_view name(process_role role) noexcept;

/// Addresses of the platform's services.
struct platform_settings {
    std::string table_service; ///< base URL of the table service
    std::string object_store;  ///< base URL of the object store
    std::string weight_store;  ///< base URL of the origin server for weights
    std::string instance_list; ///< URL of the list of live and stopping instances
};

/// The backend server of an agent or a sidecar.
struct backend_server_settings {
    std::string service; ///< name of the service in the configuration
    std::string address; ///< `host:port` of its HTTP interface
};

/// Settings of a gateway or a sidecar, provided by the users' platform.
struct node_settings {
    std::string store_address;     ///< `host:port` of the platform's store
    std::string readiness_address; ///< `host:port` for the platform's readiness checks, gateways
    std::string directory_address; ///< `host:port` for looking up gateway addresses, gateways
    std::vector<std::string> seed_addresses; ///< peer addresses of a few gateways, possibly stale
    std::string region;
    std::map<std::string, std::string, std::less<>> region_of_zone;
    double retry_ratio{0.1}; ///< retries allowed per request of a service, over all processes
    double retry_slack{10};  ///< retries allowed on top of that ratio, over all processes
    milliseconds retry_window{10000}; ///< sliding window over which retries are counted
    double cold_rate_factor{
        1}; ///< multiplies the rate of requests that a cold backend server sustains
    double cold_rate_slack{0}; ///< requests a second allowed on top of that rate
    /// Time after the acknowledgement of a configuration from which no request is handled as only
    /// an older one allows.
    milliseconds configuration_due{2000};
    /// Time after the store lists a backend server as draining or gone from which no request
    /// reaches it.
    milliseconds server_removal_due{2000};
    /// Time after the announcement of new weights from which no request starts on older ones.
    milliseconds weights_switch_deadline{8000};
    milliseconds settling_time{
        3000}; ///< time after a start or a fault within which the limits need not hold
    milliseconds grace_period{8000}; ///< from the shutdown signal until the process is killed
    milliseconds max_directory_response_lifetime{
        5000};                     ///< time for which callers may use a directory response
    std::uint64_t memory_bytes{0}; ///< that the process may use; 0: not known
};

/// Intervals and limits of the control connections.
struct control_settings {
    milliseconds heartbeat_interval{500};
    milliseconds silence_timeout{2000};     ///< a connection without frames for this long is closed
    milliseconds store_poll_interval{1000}; ///< how often an entry reads the head row
    milliseconds list_poll_interval{2000};  ///< how often the instance list is read
    milliseconds key_sweep_interval{
        10000};                          ///< how often an agent scans for expired idempotency keys
    std::uint32_t entries_per_agent{12}; ///< entries that an agent reports to
};

/// Settings of one daemon.
struct settings {
    std::string file; ///< path of the file that they were read from
    process_role role{process_role::entry};
    std::string instance;
    std::string availability_zone;
    std::string http_address; ///< `host:port` for callers, entries only; port 0 picks a free one
    std::string peer_address; ///< `host:port` for other processes of the system
    std::string advertised_peer_address; ///< address at which others connect, if not peer_address
    std::string operator_address; ///< `host:port` for operators: health, metrics, status, control
    platform_settings platform;   ///< entries and agents only
    node_settings node;           ///< gateways and sidecars only
    backend_server_settings backend_server; ///< agents and sidecars only
    control_settings control;
    std::uint32_t traffic_threads{2};
    std::uint32_t http_threads{2};
    std::uint64_t weight_memory_bytes{1ULL << 30U}; ///< maximum bytes of weight chunks in memory
    std::uint64_t peer_link_bytes_per_second{
        0}; ///< bytes a second for sending weights; 0: unlimited
};

/// Result of reading a file: the value may be used only when there are no problems.
template<typename T>
struct file_result {
    T value{};
    std::vector<file_problem> problems;

    /// @return whether the file passed validation
    bool is_valid() const noexcept { return problems.empty(); }
};

/// Parses and validates settings.
/// @param content text of the file
/// @param file    its name, for error messages
file_result<settings> parse_settings(const std::string& content, const std::string& file);

/// An address split into host and port.
struct host_port {
    std::string host;
    std::uint16_t port{0};
};

/// Parses an address of the form `a.b.c.d:port`.
/// @return host and port, or an error when the text has another form
result<host_port> parse_host_port(std::string_view text);

} // namespace citronseam

#endif
