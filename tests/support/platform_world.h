/// @file
/// A stand-in of the users' platform, by its published protocol: the store, model engines, a plain
/// service and the origin of weights, all on loopback inside the test's process.
#ifndef CITRONSEAM_TESTS_SUPPORT_PLATFORM_WORLD_H
#define CITRONSEAM_TESTS_SUPPORT_PLATFORM_WORLD_H

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/http_server.h"
#include "citronseam/connection/io_threads.h"
#include "support/child_process.h"

namespace citronseam::harness {

/// The platform's store: rows, transactions and feeds.
class row_store {
public:
    row_store();

    /// @return `host:port`
    std::string address() const;
    /// Writes a row as the operator or a server would.
    void put(const std::string& table, const std::string& key, const std::string& value);
    /// Removes a row.
    void remove(const std::string& table, const std::string& key);

    std::atomic<bool> is_down{false};    ///< answers 503
    std::atomic<int> lost_writes{0};     ///< that many writes are done and not answered
    std::atomic<bool> has_history{true}; ///< false: feeds are answered with 410
    std::atomic<int> calls{0};           ///< taken so far

private:
    struct row {
        std::string value;
        std::uint64_t version{0};
        bool is_removed{false};
    };
    using table_rows = std::map<std::string, row>;

    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder);
    void answer_feed(const std::string& table, std::uint64_t after, int polls_left,
                     const std::shared_ptr<http_responder>& responder);
    void write(const nlohmann::json& body);
    nlohmann::json list(const std::string& table, std::uint64_t after, bool with_removed) const;

    mutable std::mutex mutex_;
    std::map<std::string, table_rows> tables_;
    std::uint64_t version_{0};
    io_threads timers_{1};
    std::unique_ptr<http_server> server_;
};

/// The origin of weights of one model.
class weight_origin {
public:
    weight_origin();
    std::string address() const;
    /// @return a piece of a version
    static std::string piece(std::uint64_t version, std::size_t index);

    static constexpr std::size_t piece_count = 16;
    std::atomic<bool> is_down{false};
    std::atomic<int> pieces_sent{0};

private:
    void handle(const server_request& request, http_responder& responder);
    std::unique_ptr<http_server> server_;
};

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

/// A whole deployment: two zones with an engine, a plain server and a gateway each.
class platform_world {
public:
    platform_world();
    ~platform_world();
    platform_world(const platform_world&) = delete;
    platform_world& operator=(const platform_world&) = delete;

    /// Starts the processes of the system and waits until all gateways are ready.
    /// @return whether they became ready
    bool start();
    /// Names a configuration; versions must rise.
    void configure(std::uint64_t version, bool has_second_route = false);
    /// Names new weights.
    void name_weights(std::uint64_t version);
    /// Lists a server, or takes it off.
    void list_server(const platform_server& server, const std::string& service,
                     const std::string& zone, const std::string& state = "ready");

    /// Sends a request of a caller through a gateway.
    http_answer call(std::size_t gateway, const std::string& method, const std::string& path,
                     std::vector<http_header> headers = {});
    /// Asks for an address.
    http_answer resolve(std::size_t gateway, const std::string& zone);
    /// Asks a gateway whether it is ready.
    int readiness(std::size_t gateway);
    child_process& gateway(std::size_t index) { return *gateways_.at(index); }
    child_process& sidecar(std::size_t index) { return *sidecars_.at(index); }

    row_store store;
    weight_origin origin;
    std::vector<std::unique_ptr<platform_server>> engines;
    std::vector<std::unique_ptr<platform_server>> desks;

    static constexpr const char* key = "key-1";

private:
    struct ports {
        std::uint16_t http, readiness, directory, peer, metrics;
    };
    std::string gateway_settings(std::size_t index) const;
    std::string sidecar_settings(std::size_t index) const;
    std::string write_file(const std::string& name, const std::string& content);
    http_answer ask(http_request request);

    std::string folder_;
    http_client client_;
    std::vector<ports> ports_;
    std::vector<std::uint16_t> sidecar_ports_;
    std::vector<std::unique_ptr<child_process>> gateways_;
    std::vector<std::unique_ptr<child_process>> sidecars_;
    int attempts_{0};
};

/// Calls a condition until it holds or the bound is over. @return whether it held
template<typename Condition>
bool wait_until(Condition condition, milliseconds bound) {
    const auto end = std::chrono::steady_clock::now() + bound;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return condition();
}

} // namespace citronseam::harness

#endif
