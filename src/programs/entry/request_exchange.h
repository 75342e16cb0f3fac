/// @file
/// One caller's request at an entry, from its arrival to its final answer.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_REQUEST_EXCHANGE_H
#define CITRONSEAM_PROGRAMS_ENTRY_REQUEST_EXCHANGE_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

#include "citronseam/connection/http_responder.h"
#include "citronseam/connection/wire_message.h"
#include "citronseam/process/clock.h"
#include "citronseam/request/fair_queue.h"
#include "citronseam/request/quarantine.h"
#include "citronseam/request/response_digest.h"
#include "citronseam/request/verdict.h"
#include "programs/entry/backend_server_link.h"
#include "programs/entry/entry_context.h"
#include "programs/entry/trace_buffer.h"

namespace citronseam {

/// What a caller asked for, in the terms of the configuration.
struct caller_request {
    std::string service;
    std::string workspace;
    std::string workspace_label; ///< for metrics: "other" when the workspace is not configured
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    std::string key; ///< Idempotency-Key
    std::string request_id;
    request_priority priority{request_priority::normal};
    bool is_idempotent{true};
    std::uint64_t prefix{0}; ///< hash of the prompt's beginning, 0 for none
    std::uint64_t fingerprint{0};
    std::uint32_t weight{1};
    std::uint32_t workspace_limit{64};
    milliseconds budget{30000}; ///< whole time for the request
};

/// The exchange. All its work runs on its own strand; it keeps itself alive until the answer ended.
class request_exchange : public std::enable_shared_from_this<request_exchange> {
public:
    /// @param context    parts of the entry
    /// @param dispatcher of the service
    /// @param request    what the caller asked for
    /// @param responder  answers the caller
    request_exchange(entry_context& context, std::shared_ptr<service_dispatcher> dispatcher,
                     caller_request request, std::shared_ptr<http_responder> responder);

    /// Begins; may be called from any thread.
    void start();
    /// Sends the request to a backend server on which a place was taken. Any thread.
    void dispatch_to(std::shared_ptr<backend_server_link> link);
    /// Refuses the request, which was waiting. Any thread.
    void shed(refusal reason, milliseconds retry_after, std::string message);

    /// Frames of an attempt's answer. Any thread; the message is copied.
    void handle_head(std::uint64_t attempt, const wire::response_head& message);
    void handle_data(std::uint64_t attempt, const wire::response_data& message);
    void handle_end(std::uint64_t attempt, const wire::response_end& message);
    /// The connection that carried an attempt is closed. Any thread.
    void handle_lost(std::uint64_t attempt, close_reason reason);

    /// @return number that no other exchange of this process has
    std::uint64_t number() const noexcept { return number_; }
    /// @return hash of the prompt's beginning
    std::uint64_t prefix() const noexcept { return request_.prefix; }
    /// @return the caller's workspace
    const std::string& workspace() const noexcept { return request_.workspace; }
    /// @return when the caller's time is over
    time_point deadline() const noexcept { return deadline_; }
    /// @return backend servers that refused this request
    const std::vector<const backend_server_load*>& excluded() const noexcept { return excluded_; }
    /// Allows all backend servers again. A request that waits would otherwise hold up those behind
    /// it while the only server with room is one that refused it earlier.
    void forget_exclusions() { excluded_.clear(); }
    /// @return whether no backend server was tried yet
    bool is_first_attempt() const noexcept { return attempts_ == 0; }
    /// @return the row for the queue
    queued_request queue_entry() const;

private:
    /// One try at one backend server.
    struct attempt_state {
        std::uint64_t number{0}; ///< 0: none under way
        std::shared_ptr<backend_server_link> link;
        bool has_head{false};
        int status{0};
        std::vector<http_header> headers;
        bool is_stream{false};
        bool is_replayed{false};
        std::string model_version;
        answer_check received;
        std::string buffered;
    };

    template<typename Work>
    void run(Work work);
    void arm_deadline();
    void handle_deadline();
    void handle_hang_up();
    void send_attempt(const std::shared_ptr<backend_server_link>& link);
    shared_frame make_request(std::uint64_t attempt) const;
    void take_data(std::string_view data);
    void deliver_whole();
    void end_attempt(attempt_outcome outcome);
    void retry_or_fail(const attempt_outcome& outcome);
    bool may_try_again(const attempt_outcome& outcome);
    void fail(attempt_outcome outcome);
    void release_attempt(bool is_answered, run_verdict verdict, refusal reason);
    void cancel_attempt();
    void finish(const std::string& result);
    milliseconds time_left() const;
    std::vector<http_header> answer_headers() const;

    entry_context& context_;
    std::shared_ptr<service_dispatcher> dispatcher_;
    caller_request request_;
    std::shared_ptr<http_responder> responder_;
    asio::strand<asio::io_context::executor_type> strand_;
    asio::steady_timer deadline_timer_;
    std::uint64_t number_;
    time_point arrived_;
    time_point deadline_;

    std::vector<const backend_server_load*> excluded_;
    std::atomic<int> attempts_{0};
    attempt_state attempt_;
    run_verdict verdict_{run_verdict::not_run};
    request_trace trace_;
    bool has_caller_bytes_{false};
    bool is_suspected_{false};
    bool is_done_{false};
};

} // namespace citronseam

#endif
