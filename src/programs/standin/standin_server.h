/// @file
/// Common parts of the stand-ins: HTTP server, timers, fault switches and a record of events.
#ifndef CITRONSEAM_PROGRAMS_STANDIN_STANDIN_SERVER_H
#define CITRONSEAM_PROGRAMS_STANDIN_STANDIN_SERVER_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_server.h"
#include "citronseam/connection/io_thread_pool.h"
#include "programs/standin/prefix_cache.h"

namespace citronseam::standin {

/// Fault switches of a stand-in, set by `POST /faults` with a JSON object of the quoted keys.
struct fault_switches {
    std::atomic<bool> is_down{false};        ///< `down`: responds with 503
    std::atomic<bool> is_hanging{false};     ///< `hang`: accepts requests, never responds
    std::atomic<int> delay_ms{0};            ///< `delay_ms`: delay of each response
    std::atomic<int> lost_responses{0};      ///< `lose_answers`: writes applied without a response
    std::atomic<int> corrupt_responses{0};   ///< `corrupt`: responses with one bit flipped
    std::atomic<int> failing_loads{0};       ///< `fail_loads`: load requests to refuse
    std::atomic<int> truncated_responses{0}; ///< `cut_streams`: responses aborted midway
    /// `cold`: resets the engine to its cold state, without notice to clients.
    std::atomic<bool> is_cold_reset_requested{false};
    /// `rate`: bandwidth of the weight origin; 0 is unlimited.
    std::atomic<std::uint64_t> bytes_per_second{0};
};

/// Decrements a counter unless it is 0.
/// @return whether it was decremented
bool consume_one(std::atomic<int>& counter);

/// The server of one stand-in process.
class standin_server {
public:
    using handler = std::function<void(const server_request&, std::shared_ptr<http_responder>)>;

    /// @param name    name for the log
    /// @param address listen address, `host:port`
    /// @param handle  handles requests other than `/faults` and `/record`
    standin_server(std::string name, const std::string& address, handler handle);

    /// Serves until SIGTERM or SIGINT.
    /// @return the exit code
    int run();

    /// @return the fault switches
    fault_switches& faults() noexcept { return faults_; }
    /// @return the event loop that runs delayed work
    io_thread_pool& timers() noexcept { return timers_; }

    /// Also prints recorded events to standard output, so that they survive the process.
    void enable_record_output() noexcept { is_record_printed_ = true; }

    /// Appends an event to the record that `GET /record` returns.
    void record_event(nlohmann::json entry);

private:
    void handle_common(const server_request& request, std::shared_ptr<http_responder> responder);
    void set_faults(const server_request& request, http_responder& responder);

    std::string name_;
    handler handle_;
    fault_switches faults_;
    io_thread_pool timers_{1};
    bool is_record_printed_{false};
    std::mutex record_mutex_;
    std::vector<nlohmann::json> recorded_events_;
    std::unique_ptr<http_server> server_;
};

/// Runs one stand-in until SIGTERM or SIGINT.
/// @param name          name for the log
/// @param address       where to listen
/// @param service       has `attach(standin_server&)` and `handle(request, responder)`
/// @param prints_record whether the record goes to standard output as well
template<typename Service>
int serve(const std::string& name, const std::string& address, Service& service,
          bool prints_record = false) {
    standin_server server(
        name, address,
        [&](const server_request& request, const std::shared_ptr<http_responder>& responder) {
            service.handle(request, responder);
        });
    service.attach(server);
    if (prints_record) {
        server.enable_record_output();
    }
    return server.run();
}

/// Sends a JSON response.
void respond_json(http_responder& responder, int status, const nlohmann::json& body,
                  std::vector<http_header> headers = {});

/// Subcommands of the program. Each one serves until SIGTERM or SIGINT.
int run_store(const std::string& address);
int run_weights(const std::string& address, std::uint64_t bytes_per_second);
int run_instances(const std::string& address, int lag_ms);

/// Parameters of the stand-in engine.
struct engine_options {
    std::string address{"127.0.0.1:0"};
    int first_token_ms{5};
    int token_ms{2};
    int cold_capacity{1};           ///< maximum concurrent requests while cold
    int warmup_responses{8};        ///< responses until it is warm
    int warm_capacity{32};          ///< maximum concurrent requests while warm
    int cold_delay_factor{1};       ///< delay multiplier while cold
    int load_ms{20};                ///< duration of loading a version
    bool is_fencing_enforced{true}; ///< whether it refuses an older fencing token
    bool exits_on_overload{false};  ///< whether it exits on overload
    /// Delay multiplier of the first token when the prefix is not cached.
    int cache_miss_delay_factor{1};
    cache_options cache;
    bool prints_record{false};
};
int run_engine(const engine_options& options);

/// Parameters of the stand-in for a plain service.
struct plain_options {
    std::string address{"127.0.0.1:0"};
    int work_ms{5};
    bool prints_record{false};
};
int run_plain(const plain_options& options);

} // namespace citronseam::standin

#endif
