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

/// A backend server: a model engine, or a plain server without a model. A plain server answers a
/// request whose query has `work_ms` so long after it began to run it.
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
    /// Lets some requests crash the server: it closes all connections, refuses new ones for a
    /// while, and starts again under another identifier and address. An engine sends the head of
    /// its response first. Call it before the first request; it changes the address.
    /// @param condition  whether a request crashes the server
    /// @param on_restart called after each restart with the previous identifier
    void set_crash_condition(std::function<bool(const server_request&)> condition,
                             std::function<void(const std::string& previous_id)> on_restart);
    /// @return whether it accepts connections
    bool is_running() const;
    /// Lets crashes leave the connections open and silent, as a loss of power does.
    std::atomic<bool> crashes_silently{false};
    /// @return number of crashes so far
    int crash_count() const { return crash_count_; }
    /// @return version of the loaded weights
    std::uint64_t version() const;
    /// Lets orders load the staged pieces as they are, like a real engine; otherwise an order whose
    /// pieces are not all right is refused.
    void set_unchecked_loads() { is_load_unchecked_ = true; }
    /// @return orders so far that loaded a piece that was missing, of another version, or spoilt
    /// for longer than recent_spoilage
    int wrong_load_count() const;
    /// Starts the engine again, without weights and staged pieces.
    void lose_power();
    /// Starts the engine again, without weights; staged pieces are kept, as after a crash.
    void lose_weights();
    /// Spoils the staged pieces before `end`.
    void spoil_pieces(std::size_t end);
    /// @return whether all staged pieces are those of a version
    bool has_staged(std::uint64_t version) const;
    /// Sets a function that is called before each call that reads a staged piece.
    void set_piece_read_handler(std::function<void(std::size_t piece)> handler);
    /// Sets a function that is called for each request that is meant for it, before it is handled.
    /// Call it before the first request.
    void set_arrival_handler(std::function<void(const std::string& request)> handler);
    /// While true, orders are neither answered nor executed.
    void set_orders_held(bool is_held);
    /// @return orders that are held
    std::size_t held_order_count() const;
    /// Executes the held orders, or refuses them.
    void finish_held_orders(bool is_refused);
    /// @return number of runs by attempt identifier
    std::map<std::string, int> runs_per_attempt() const;
    /// @return number of requests that were meant for it, with those that it refused
    int arrival_count() const { return arrival_count_; }
    /// @return headers of the last request that it ran
    std::vector<http_header> last_headers() const;

    std::atomic<int> streams_to_truncate{0}; ///< next streams to abort after three events
    std::atomic<int> responses_to_drop{0};   ///< next requests to run without a response
    std::atomic<int> failures_to_answer{0};  ///< next requests to answer with 500 and not run
    std::atomic<bool> is_overloaded{false};  ///< answers 503 "not executed" to requests
    std::atomic<int> queue_delay_ms{0};      ///< requests wait this long before they begin to run
    std::atomic<double> request_limit{0};    ///< requests a second that its answers name; 0: none
    std::atomic<int> event_interval_ms{30};  ///< between two events of a stream
    std::atomic<bool> is_leaving{false};     ///< says so in its answers to requests
    std::atomic<double> retry_after_s{0};    ///< named in its refusals; 0: none
    std::atomic<bool> is_target_in_events{false}; ///< events name the target of their request
    /// Reports that it executes an order to load weights, and runs what it has begun.
    std::atomic<bool> is_executing_order{false};

    static constexpr int events_per_stream = 8;
    static constexpr std::chrono::seconds recent_spoilage{3};

private:
    struct held_order {
        nlohmann::json order;
        std::shared_ptr<http_responder> responder;
    };
    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder);
    bool handle_engine_call(const server_request& request,
                            const std::shared_ptr<http_responder>& responder);
    void handle_load_order(const nlohmann::json& order, http_responder& responder);
    bool is_staged(std::uint64_t version) const;
    bool is_load_wrong(std::uint64_t version) const;
    void queue(const server_request& request, const std::shared_ptr<http_responder>& responder);
    void run(const server_request& request, const std::shared_ptr<http_responder>& responder);
    void finish_work(const server_request& request, const std::vector<http_header>& headers,
                     const std::shared_ptr<http_responder>& responder);
    void send_event(int event_id, int last, bool is_truncated, const std::string& target,
                    const std::shared_ptr<http_responder>& responder);
    std::vector<http_header> response_headers(const server_request& request) const;
    std::vector<http_header> refusal_headers() const;
    bool is_crashing(const server_request& request) const;
    void begin_crash(const std::vector<http_header>& headers,
                     const std::shared_ptr<http_responder>& responder);
    void crash();
    void restart();

    const std::string name_;
    std::string id_;
    bool is_engine_;
    mutable std::mutex mutex_;
    std::uint64_t version_{1};
    std::uint64_t accepted_order_count_{0};
    std::uint64_t started_at_{1};
    std::map<std::size_t, std::string> staged_pieces_;
    std::map<std::size_t, time_point> spoilt_at_; ///< by piece
    std::function<void(std::size_t)> on_piece_read_;
    std::function<void(const std::string&)> on_arrival_;
    std::atomic<bool> is_load_unchecked_{false};
    int wrong_load_count_{0};
    bool are_orders_held_{false};
    std::vector<held_order> held_orders_;
    std::map<std::string, int> runs_per_attempt_;
    std::vector<http_header> last_headers_;
    std::function<bool(const server_request&)> crash_condition_; ///< may be empty
    std::function<void(const std::string&)> on_restart_;
    std::atomic<int> crash_count_{0};
    std::atomic<int> arrival_count_{0};
    bool is_crashed_{false};
    std::unique_ptr<relay> front_; ///< of a server that can crash; nullptr until it is back
    std::vector<std::unique_ptr<relay>> silent_fronts_; ///< of crashes that closed nothing
    io_thread_pool timers_{1};
    std::unique_ptr<http_server> server_;
};

} // namespace citronseam::harness

#endif
