/// @file
/// Asynchronous HTTP client on libcurl's multi interface, with one thread of its own.
#ifndef CITRONSEAM_CONNECTION_HTTP_CLIENT_H
#define CITRONSEAM_CONNECTION_HTTP_CLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/connection/response_head.h"
#include "citronseam/process/clock.h"
#include "citronseam/request/buffer_budget.h"
#include "citronseam/request/idempotency_record.h"
#include "citronseam/request/verdict.h"

namespace citronseam {

/// A request to send, with its transfer options.
struct http_request {
    std::string method{"GET"};
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    std::shared_ptr<const std::string> shared_body; ///< if set, sent in place of body, uncopied
    milliseconds timeout{5000};                     ///< for the whole exchange
    milliseconds connect_timeout{1000};             ///< for establishing the connection
    bool may_reuse_connection{true};                ///< false: on a connection of its own
    /// Name of a header that the server repeats in its response. The connection is kept only after
    /// a response that repeats its value: a later copy of any other response on that connection
    /// could not be told from the next request's. Empty: kept after any complete response.
    std::string echoed_header;
    bool may_be_resent{true};                 ///< by libcurl, when a reused connection ends
    bool is_connect_only{false};              ///< sends nothing; complete once connected
    std::uint64_t max_receive_bytes_per_s{0}; ///< bytes per second at most; 0 is unlimited
};

/// How an exchange ended.
struct http_outcome {
    bool is_complete{false};  ///< the whole response was received
    bool is_cancelled{false}; ///< cancel() was called, or on_data() returned false
    bool is_malformed{false}; ///< the head is no response's, or too long
    bool is_timed_out{false};
    body_framing framing{body_framing::connection}; ///< how the response states its end
    bool is_head_whole{false};                      ///< the head of the response ended
    bool is_connection_reused{false};          ///< the connection had carried an earlier exchange
    std::uint64_t body_bytes{0};               ///< received, without the overhead of chunks
    run_verdict verdict{run_verdict::not_run}; ///< whether the server may have run it
    int status{0};
    std::string message; ///< human-readable error
};

/// Callbacks of one exchange. All of them run on the client's thread and must not block.
struct http_observer {
    /// The status and all headers were received.
    std::function<void(int status, const std::vector<http_header>& headers)> on_head;
    /// A part of the body was received. Returning false cancels the exchange.
    std::function<bool(std::string_view data)> on_data;
    /// The exchange ended; called exactly once.
    std::function<void(const http_outcome& outcome)> on_done;
};

/// A response whose body is collected in memory.
struct http_response {
    http_outcome outcome;
    std::vector<http_header> headers;
    std::string body;
};

/// HTTP client that runs many exchanges at once.
class http_client {
public:
    /// @param buffer_limit bytes that what it holds of all responses may take; one body at most
    ///        half of it
    explicit http_client(std::size_t buffer_limit = buffer_budget::default_limit);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts an exchange. May be called from any thread.
    /// @return the id of the exchange, for cancel()
    std::uint64_t send(http_request request, http_observer observer);

    /// Starts an exchange and collects the response.
    /// @param max_body_size limit in bytes; a longer body, or one for which the bodies of other
    ///        responses leave no room, ends the exchange as cancelled
    /// @param on_response  called once on the client's thread
    std::uint64_t fetch(http_request request, std::size_t max_body_size,
                        std::function<void(http_response)> on_response);

    /// Cancels an exchange. May be called from any thread.
    void cancel(std::uint64_t id);

    /// Runs a function on the client's thread. May be called from any thread.
    void post(std::function<void()> work);
    /// Runs a function on the client's thread after a delay. May be called from any thread.
    void post_after(milliseconds delay, std::function<void()> work);

    /// May be called on the client's thread only, while the exchange is in progress.
    /// @return whether the exchange uses a connection that carried an earlier one
    bool is_on_reused_connection(std::uint64_t id) const;
    /// May be called on the client's thread only, while the exchange is in progress.
    /// @return whether a part of the request was sent
    bool is_sent(std::uint64_t id) const;
    /// @return the memory for the heads of all responses and the bodies that are collected. Those
    ///         who collect bodies themselves take a part of it for each.
    const std::shared_ptr<buffer_budget>& buffers() const noexcept;
    /// @return number of exchanges in progress
    std::size_t active_count() const;

private:
    class worker;
    std::shared_ptr<worker> worker_;
};

/// Sends one request and blocks until its response is complete. For single-threaded programs such
/// as the command-line tool.
http_response fetch_blocking(http_client& client, http_request request, std::size_t max_body_size);

/// @return the value of the first header of that name, compared without case; empty when absent
std::string find_header(const std::vector<http_header>& headers, std::string_view name);

/// @return the list in all headers of that name, in their order: a sender may divide a list of
/// values separated by commas into several fields. Source: RFC 9110, section 5.3.
std::string join_headers(const std::vector<http_header>& headers, std::string_view name);

} // namespace citronseam

#endif
