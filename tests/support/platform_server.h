/// @file
/// Stand-in of the backend servers of the users' platform.
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

/// A backend server: a model engine, or a plain one when it has no model.
class platform_server {
public:
    /// @param id      its identifier
    /// @param is_engine whether it streams and takes orders
    platform_server(std::string id, bool is_engine);
    std::string address() const;
    const std::string& id() const { return id_; }
    /// @return version of the weights in force
    std::uint64_t version() const;
    /// @return how often each attempt ran here
    std::map<std::string, int> runs() const;
    /// @return headers of the last request that ran
    std::vector<http_header> last_headers() const;

    std::atomic<int> cut_streams{0};  ///< that many streams are cut after three events
    std::atomic<int> lost_answers{0}; ///< that many requests run and are not answered
    std::atomic<bool> is_full{false}; ///< refuses requests as not run

    static constexpr int event_count = 8;

private:
    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder);
    bool handle_control(const server_request& request, http_responder& responder);
    void take_order(const nlohmann::json& order, http_responder& responder);
    void run(const server_request& request, const std::shared_ptr<http_responder>& responder);
    void send_event(int event, int last, bool is_cut,
                    const std::shared_ptr<http_responder>& responder);
    std::vector<http_header> answer_headers(const server_request& request) const;

    std::string id_;
    bool is_engine_;
    mutable std::mutex mutex_;
    std::uint64_t version_{1};
    std::uint64_t orders_{0};
    std::map<std::size_t, std::string> staged_;
    std::map<std::string, int> runs_;
    std::vector<http_header> last_headers_;
    io_threads timers_{1};
    std::unique_ptr<http_server> server_;
};

} // namespace citronseam::harness

#endif
