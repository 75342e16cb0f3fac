/// @file
/// Stand-in for a backend server of the users' platform.
#ifndef CITRONSEAM_TESTS_SUPPORT_PLATFORM_SERVER_H
#define CITRONSEAM_TESTS_SUPPORT_PLATFORM_SERVER_H

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_server.h"
#include "citronseam/connection/io_thread_pool.h"

namespace citronseam::harness {

/// A backend server: a model engine, or a plain server without a model.
class platform_server {
public:
    /// @param id instance identifier
    /// @param is_engine whether it streams its responses and loads weights
    platform_server(std::string id, bool is_engine);
    /// @return `host:port`
    std::string address() const;
    const std::string& id() const { return id_; }
    /// @return version of the loaded weights
    std::uint64_t version() const;
    /// @return number of runs by attempt identifier
    std::map<std::string, int> runs_per_attempt() const;
    /// @return headers of the last request that it ran
    std::vector<http_header> last_headers() const;

    std::atomic<int> streams_to_truncate{0}; ///< next streams to abort after three events
    std::atomic<int> responses_to_drop{0};   ///< next requests to run without a response
    std::atomic<bool> is_overloaded{false};  ///< answers 503 "not executed" to requests
    std::atomic<int> queue_delay_ms{0};      ///< requests wait this long before they begin to run
    std::atomic<int> event_interval_ms{30};  ///< between two events of a stream

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

    std::string id_;
    bool is_engine_;
    mutable std::mutex mutex_;
    std::uint64_t version_{1};
    std::uint64_t accepted_order_count_{0};
    std::map<std::size_t, std::string> staged_pieces_;
    std::map<std::string, int> runs_per_attempt_;
    std::vector<http_header> last_headers_;
    io_thread_pool timers_{1};
    std::unique_ptr<http_server> server_;
};

} // namespace citronseam::harness

#endif
