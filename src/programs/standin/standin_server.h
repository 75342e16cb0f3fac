/// @file
/// What all stand-ins share: a server, timers, fault switches and a record of what happened.
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

/// Fault switches of a stand-in, set by `POST /faults` with a JSON object of the same names.
struct fault_switches {
    std::atomic<bool> is_down{false};    ///< `down`: answers 503
    std::atomic<bool> is_hanging{false}; ///< `hang`: takes requests and never answers
    std::atomic<int> delay_ms{0};        ///< `delay_ms`: answers later
    std::atomic<int> lost_answers{0};    ///< `lose_answers`: acts on that many, then cuts
    std::atomic<int> corrupt_answers{0}; ///< `corrupt`: changes a byte in that many answers
    std::atomic<int> failing_loads{0};   ///< `fail_loads`: refuses that many loads
    std::atomic<int> cut_streams{0};     ///< `cut_streams`: cuts that many answers in the middle
    std::atomic<bool> is_cold{false};    ///< `cold`: the engine turns cold without warning
    std::atomic<std::uint64_t> rate{0};  ///< `rate`: bytes a second served; 0 is unlimited
};

/// Takes one from a counter if any is left.
/// @return whether there was one
bool use_one(std::atomic<int>& counter);

/// The server of one stand-in process.
class standin_server {
public:
    using handler = std::function<void(const server_request&, std::shared_ptr<http_responder>)>;

    /// @param name    name for the log
    /// @param address where to listen
    /// @param handle  handles what the common part does not
    standin_server(std::string name, const std::string& address, handler handle);

    /// Serves until SIGTERM or SIGINT.
    int run();

    /// @return the fault switches
    fault_switches& faults() noexcept { return faults_; }
    /// @return timers
    io_threads& timers() noexcept { return timers_; }

    /// Prints the record as well, so that it outlives the process.
    void print_record() noexcept { is_record_printed_ = true; }

    /// Adds a line to the record that `GET /record` returns.
    void record(nlohmann::json entry);

private:
    void handle_common(const server_request& request, std::shared_ptr<http_responder> responder);
    void set_faults(const server_request& request, http_responder& responder);

    std::string name_;
    handler handle_;
    fault_switches faults_;
    io_threads timers_{1};
    bool is_record_printed_{false};
    std::mutex record_mutex_;
    std::vector<nlohmann::json> record_;
    std::unique_ptr<http_server> server_;
};

/// Serves one stand-in until it is told to end.
/// @param name          name for the log
/// @param address       where to listen
/// @param content       has `use(standin_server&)` and `handle(request, responder)`
/// @param prints_record whether the record goes to standard output as well
template<typename Content>
int serve(const std::string& name, const std::string& address, Content& content,
          bool prints_record = false) {
    standin_server server(
        name, address,
        [&](const server_request& request, const std::shared_ptr<http_responder>& responder) {
            content.handle(request, responder);
        });
    content.use(server);
    if (prints_record) {
        server.print_record();
    }
    return server.run();
}

/// Sends a JSON answer.
void respond_json(http_responder& responder, int status, const nlohmann::json& body,
                  std::vector<http_header> headers = {});

/// Subcommands of the program; each serves until it is told to end.
int run_store(const std::string& address);
int run_weights(const std::string& address, std::uint64_t rate);
int run_instances(const std::string& address, int lag_ms);

/// What a stand-in engine is like.
struct engine_options {
    std::string address{"127.0.0.1:0"};
    int first_token_ms{5};
    int token_ms{2};
    int cold_capacity{1};   ///< requests it bears while cold
    int cold_requests{8};   ///< answers until it is warm
    int warm_capacity{32};  ///< requests it bears while warm
    int cold_factor{1};     ///< how many times slower it is while cold
    int load_ms{20};        ///< time to load a version
    bool is_fencing{true};  ///< whether it refuses an older fencing number
    bool falls_over{false}; ///< whether it ends when it gets more than it bears
    int miss_factor{1};     ///< how many times longer the first token takes without the prefix
    cache_options cache;
    bool prints_record{false};
};
int run_engine(const engine_options& options);

/// What a stand-in for a plain service is like.
struct plain_options {
    std::string address{"127.0.0.1:0"};
    int work_ms{5};
    bool prints_record{false};
};
int run_plain(const plain_options& options);

} // namespace citronseam::standin

#endif
