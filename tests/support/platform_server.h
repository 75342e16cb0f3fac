/// @file
/// Stand-in for a backend server of the users' platform.
#ifndef CITRONSEAM_TESTS_SUPPORT_PLATFORM_SERVER_H
#define CITRONSEAM_TESTS_SUPPORT_PLATFORM_SERVER_H

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_server.h"
#include "citronseam/connection/io_thread_pool.h"

#include "support/relay.h"

namespace citronseam::harness {

/// A backend server: a model engine, or a plain server without a model.
class platform_server {
public:
    /// @param id instance identifier
    /// @param is_engine whether it streams its responses and loads weights
    platform_server(std::string id, bool is_engine);
    /// Stops the server's timers before its other members are destroyed.
    ~platform_server();
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    /// @return `host:port`
    std::string address() const;
    /// @return instance identifier; a restart changes it
    std::string id() const;
    /// Lets requests for a target crash the server: it closes all connections, refuses new ones for
    /// a while, and starts again under another identifier and address. Call it before the first
    /// request; it changes the address.
    /// @param on_restart called after each restart with the previous identifier
    void set_crash_target(std::string target,
                          std::function<void(const std::string& previous_id)> on_restart);
    /// @return number of crashes so far
    int crash_count() const { return crash_count_; }
    /// @return version of the loaded weights
    std::uint64_t version() const;
    /// @return number of runs by attempt identifier
    std::map<std::string, int> runs_per_attempt() const;
    /// @return number of requests that were meant for it, with those that it refused
    int arrival_count() const { return arrival_count_; }
    /// @return headers of the last request that it ran
    std::vector<http_header> last_headers() const;

    std::atomic<int> streams_to_truncate{0}; ///< next streams to abort after three events
    std::atomic<int> responses_to_drop{0};   ///< next requests to run without a response
    std::atomic<int> failures_to_answer{0};  ///< next requests to run and answer with 500
    std::atomic<bool> is_overloaded{false};  ///< answers 503 "not executed" to requests
    std::atomic<int> queue_delay_ms{0};      ///< requests wait this long before they begin to run
    std::atomic<double> request_limit{0};    ///< requests a second that its answers name; 0: none
    std::atomic<int> event_interval_ms{30};  ///< between two events of a stream
    /// Reports that it executes an order to load weights, and runs what it has begun.
    std::atomic<bool> is_executing_order{false};
    std::atomic<bool> is_leaving{false};  ///< says so in its answers to requests
    std::atomic<double> retry_after_s{0}; ///< named in its refusals; 0: none

    static constexpr int events_per_stream = 8;

private:
    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder);
    bool handle_engine_call(const server_request& request, http_responder& responder);
    void handle_load_order(const nlohmann::json& order, http_responder& responder);
    void queue(const server_request& request, const std::shared_ptr<http_responder>& responder);
    void run(const server_request& request, const std::shared_ptr<http_responder>& responder);
    void send_event(int event_id, int last, bool is_truncated,
                    const std::shared_ptr<http_responder>& responder);
    std::vector<http_header> response_headers(const server_request& request) const;
    std::vector<http_header> refusal_headers() const;
    bool is_crashing(const server_request& request) const;
    void crash();
    void restart();

    const std::string name_;
    std::string id_;
    bool is_engine_;
    mutable std::mutex mutex_;
    std::uint64_t version_{1};
    std::uint64_t accepted_order_count_{0};
    std::map<std::size_t, std::string> staged_pieces_;
    std::map<std::string, int> runs_per_attempt_;
    std::vector<http_header> last_headers_;
    std::string crash_target_;
    std::function<void(const std::string&)> on_restart_;
    std::atomic<int> crash_count_{0};
    std::atomic<int> arrival_count_{0};
    bool is_crashed_{false};
    std::unique_ptr<relay> front_; ///< of a server that can crash; nullptr until it is back
    io_thread_pool timers_{1};
    std::unique_ptr<http_server> server_;
};

} // namespace citronseam::harness

#endif
