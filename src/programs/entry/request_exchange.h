/// @file
/// One caller's request at an entry, from its arrival to its final response.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_REQUEST_EXCHANGE_H
#define CITRONSEAM_PROGRAMS_ENTRY_REQUEST_EXCHANGE_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

#include "citronseam/connection/frame_meter.h"
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

/// Refusals caused by the current state of a backend server and not by the request. Trying another
/// backend server after one of them does not count against the retry budget.
bool is_transient(refusal reason) noexcept;

/// A caller's request, resolved against the configuration.
struct caller_request {
    std::string service;
    std::string workspace;
    std::string workspace_label; ///< for metrics: "other" when the workspace is not configured
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    std::shared_ptr<void> memory; ///< counts the body towards the memory of received requests
    std::string idempotency_key;  ///< header Idempotency-Key
    std::string request_id;
    request_priority priority{request_priority::normal};
    bool is_idempotent{true};
    std::uint64_t prompt_prefix_hash{0}; ///< hash of the start of the prompt, 0 for none
    std::uint64_t fingerprint{0};
    std::uint32_t weight{1};
    std::uint32_t workspace_queue_limit{64};
    milliseconds timeout{30000}; ///< total time for the request, all attempts included
};

/// Queues a request, sends it to backend servers, retries it and relays the response. All work runs
/// on the exchange's own strand, and pending work keeps the exchange alive.
class request_exchange : public std::enable_shared_from_this<request_exchange> {
public:
    /// @param context    shared components of the entry
    /// @param dispatcher dispatcher of the service
    /// @param request    the request
    /// @param responder  sends the response to the caller
    request_exchange(entry_context& context, std::shared_ptr<service_dispatcher> dispatcher,
                     caller_request request, std::shared_ptr<http_responder> responder);

    /// Starts processing; may be called from any thread.
    void start();
    /// Sends the request to a backend server whose `outstanding` count already includes it. Any
    /// thread.
    void dispatch_to(std::shared_ptr<backend_server_link> link);
    /// Refuses the request, which is waiting or was not queued. Any thread.
    void reject(refusal reason, milliseconds retry_after, std::string message);

    /// Handle the frames of an attempt's response. Any thread; the message is copied.
    void handle_head(std::uint64_t attempt, const wire::response_head& message);
    void handle_data(std::uint64_t attempt, const wire::response_data& message);
    void handle_end(std::uint64_t attempt, const wire::response_end& message);
    /// Handles the loss of the connection that carried an attempt. Any thread.
    void handle_connection_lost(std::uint64_t attempt, close_reason reason);

    /// @return identifier, unique within this process
    std::uint64_t id() const noexcept { return id_; }
    /// @return hash of the start of the prompt, 0 for none
    std::uint64_t prompt_prefix_hash() const noexcept { return request_.prompt_prefix_hash; }
    /// @return the caller's workspace
    const std::string& workspace() const noexcept { return request_.workspace; }
    /// @return time by which the response must be complete
    time_point deadline() const noexcept { return deadline_; }
    /// @return backend servers on which an attempt failed
    const std::vector<const backend_server_load*>& excluded() const noexcept { return excluded_; }
    /// Makes all backend servers eligible again. Otherwise a waiting request could block the queue
    /// while the only server with free capacity is one that refused it earlier.
    void clear_exclusions() { excluded_.clear(); }
    /// @return whether no attempt was sent yet
    bool is_first_attempt() const noexcept { return attempts_ == 0; }
    /// @return the entry for the fair queue
    queued_request queue_entry() const;

private:
    /// One attempt at one backend server.
    struct attempt_state {
        std::uint64_t id{0}; ///< 0: no attempt in progress
        std::shared_ptr<backend_server_link> link;
        bool has_head{false};
        int status{0};
        std::vector<http_header> headers;
        bool is_stream{false};
        bool is_replayed{false};
        std::string model_version;
        response_digest received;
        std::string buffered;
        buffer_share share; ///< of `buffered`
        std::string tail;   ///< the last bytes received
    };

    template<typename Work>
    void post_to_strand(Work work);
    /// @return whether the request has crashed servers and was refused
    bool refuse_if_quarantined();
    void start_deadline_timer();
    void handle_deadline();
    void handle_caller_disconnect();
    void begin_attempt(const std::shared_ptr<backend_server_link>& link, bool is_checked);
    void send_attempt(const std::shared_ptr<backend_server_link>& link);
    shared_frame make_request_frame(std::uint64_t attempt) const;
    void forward_data(std::string_view data);
    bool is_event_end_proven() const;
    void deliver_response(bool is_end_unstated);
    void end_attempt(attempt_outcome outcome);
    void retry_or_fail(const attempt_outcome& outcome);
    bool can_retry(const attempt_outcome& outcome);
    void fail(attempt_outcome outcome);
    void release_attempt(bool is_answered, run_verdict verdict, refusal reason);
    void cancel_attempt();
    void finish(const std::string& result);
    milliseconds time_left() const;
    std::vector<http_header> response_headers() const;

    entry_context& context_;
    std::shared_ptr<service_dispatcher> dispatcher_;
    caller_request request_;
    std::shared_ptr<http_responder> responder_;
    asio::strand<asio::io_context::executor_type> strand_;
    asio::steady_timer deadline_timer_;
    std::uint64_t id_;
    time_point arrived_at_;
    time_point deadline_;

    std::vector<const backend_server_load*> excluded_;
    std::atomic<int> attempts_{0};
    attempt_state attempt_;
    std::shared_ptr<frame_meter>
        waiting_parts_; ///< parts of responses that the strand has yet to see
    run_verdict verdict_{run_verdict::not_run};
    request_trace trace_;
    bool has_sent_to_caller_{false};
    bool is_suspected_{false};
    bool is_done_{false};
};

} // namespace citronseam

#endif
