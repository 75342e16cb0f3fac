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

#include "citronseam/process/clock.h"
#include "citronseam/request/idempotency_record.h"
#include "citronseam/request/verdict.h"

namespace citronseam {

/// A request to send.
struct http_request {
    std::string method{"GET"};
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    milliseconds timeout{5000};         ///< for the whole exchange
    milliseconds connect_timeout{1000}; ///< for the connection alone
    bool may_reuse_connection{true};    ///< false: libcurl never sends the request a second time
    std::uint64_t receive_rate{0};      ///< bytes a second drawn at most; 0 is unlimited
};

/// How an exchange ended.
struct http_outcome {
    bool is_complete{false};  ///< the whole answer came
    bool is_cancelled{false}; ///< cancel() was called or on_data() returned false
    bool is_timeout{false};
    run_verdict verdict{run_verdict::not_run}; ///< whether the server may have got the request
    int status{0};
    std::string message; ///< what went wrong, for people
};

/// What the sender of a request wants to hear. All functions run on the client's thread and must
/// not block.
struct http_observer {
    /// The status and all headers came.
    std::function<void(int status, const std::vector<http_header>& headers)> on_head;
    /// A part of the body came. Returning false cancels the exchange.
    std::function<bool(std::string_view data)> on_data;
    /// The exchange ended; called exactly once.
    std::function<void(const http_outcome& outcome)> on_done;
};

/// A whole answer, for callers that do not need the parts.
struct http_answer {
    http_outcome outcome;
    std::vector<http_header> headers;
    std::string body;
};

/// The client.
class http_client {
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts an exchange. May be called from any thread.
    /// @return a number for cancel()
    std::uint64_t send(http_request request, http_observer observer);

    /// Starts an exchange and collects the answer.
    /// @param largest_body a longer body ends the exchange as cancelled
    /// @param on_answer    called once on the client's thread
    std::uint64_t fetch(http_request request, std::size_t largest_body,
                        std::function<void(http_answer)> on_answer);

    /// Ends an exchange early. May be called from any thread.
    void cancel(std::uint64_t number);

    /// Runs a function on the client's thread. May be called from any thread.
    void post(std::function<void()> work);
    /// Runs a function on the client's thread after a delay. May be called from any thread.
    void post_after(milliseconds delay, std::function<void()> work);

    /// @return number of exchanges under way
    std::size_t running() const;

private:
    class worker;
    std::shared_ptr<worker> worker_;
};

/// Sends one request and waits for its answer: for the command-line tool, which has one thread.
http_answer fetch_and_wait(http_client& client, http_request request, std::size_t largest_body);

/// @return the value of a header, compared without case; empty when it is absent
std::string find_header(const std::vector<http_header>& headers, std::string_view name);

} // namespace citronseam

#endif
