/// @file
/// Handles one caller's request from its arrival to its final response.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_GATEWAY_EXCHANGE_H
#define CITRONSEAM_PROGRAMS_GATEWAY_GATEWAY_EXCHANGE_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronseam/connection/http_server.h"
#include "citronseam/process/clock.h"
#include "citronseam/request/attempt_move.h"
#include "citronseam/request/buffer_budget.h"
#include "citronseam/request/event_stream.h"
#include "citronseam/request/verdict.h"
#include "platform/http_headers.h"
#include "programs/gateway/gateway_context.h"

namespace citronseam {

/// Sends a request to a backend server, retries it at another one when that is allowed, and sends
/// the response to the caller. Keeps itself alive until then. All functions run on the traffic
/// thread.
class gateway_exchange : public std::enable_shared_from_this<gateway_exchange> {
public:
    gateway_exchange(gateway_context& context, server_request request,
                     std::shared_ptr<http_responder> responder, time_point received_at);
    ~gateway_exchange();
    gateway_exchange(const gateway_exchange&) = delete;
    gateway_exchange& operator=(const gateway_exchange&) = delete;

    /// Routes the request and sends it to a first server.
    void start();
    /// Enforces the time limits. Called periodically while the request is in flight.
    void check_time(time_point now);
    /// Ends the request, since the process exits: with a refusal if it has not run, else with a
    /// final answer that promises nothing. A stream that has begun is broken off.
    void end_before_exit();
    /// @return whether the request has ended
    bool is_done() const noexcept { return is_done_; }

private:
    /// With less time left than this, no backend server can finish a request.
    static constexpr milliseconds min_send_time{20};
    /// Limit on opening a connection to a backend server: a few round trips. A lost SYN is resent
    /// only after a second, which is too late for most requests.
    static constexpr milliseconds connect_timeout{400};

    /// One attempt at one backend server.
    struct attempt {
        std::uint64_t number{0}; ///< identifies the exchange in the HTTP client
        attempt_progress progress{attempt_progress::silent}; ///< since a move began
        double pending_prefill_ms{0}; ///< expected prefill time; 0 once the response began
        /// Expected time to the first event; nullopt if the sidecar need not be told or has been.
        std::optional<double> profile_first_event_ms;
        std::shared_ptr<server_state> server; ///< nullptr once it has ended or was cancelled
        time_point started_at;
        time_point begun_at;     ///< when the first part of the body arrived
        time_point last_data_at; ///< when the last part of the response arrived
        bool has_head{false};
        bool has_data{false};     ///< the engine has begun: it sends data from its first token on
        bool has_survived{false}; ///< the server went on after it began to answer
        int status{0};
        std::vector<http_header> headers;
        platform::response_parameters parameters;
        std::string body; ///< of a response that is not forwarded event by event
        event_buffer events;
        bool has_new_event{false}; ///< an event that follows those forwarded before it
        http_outcome outcome;      ///< once it is done
        buffer_share buffered;     ///< of the body, or of events that are incomplete or held
        bool is_stream{false};
        bool is_unusable{false}; ///< cancelled: it is to another request, its event stream is
                                 ///< broken, or too long
    };

    /// Why a request ends without a backend server's response.
    struct refusal {
        int status{503};
        std::string_view reason;
        std::string message;
        milliseconds retry_after{0};
    };

    /// What the response to an attempt is worth.
    enum class response_kind : std::uint8_t {
        not_run, ///< the server declares that it did not run the request
        broken,  ///< incomplete, or not certainly the server's
        failure, ///< the server's own failure
        usable
    };

    bool resolve_route();
    /// @return whether it surely ends, or is expected to end, before the process exits
    bool can_end_before_exit(time_point now) const;
    void refuse_for_shutdown();
    void send_next();
    /// @param is_proof_wanted whether the server must be known to be alive, since another one may
    ///                        have crashed under the request
    std::shared_ptr<attempt> send_to(const server_selection& selection,
                                     bool is_proof_wanted = false);
    http_observer make_observer(const std::shared_ptr<attempt>& source);
    bool is_current(const std::shared_ptr<attempt>& source) const;
    void check_end(const std::shared_ptr<attempt>& source, const http_outcome& outcome);
    void handle_head(attempt& current, int status, const std::vector<http_header>& headers);
    bool handle_data(attempt& current, std::string_view data);
    bool accept_events(attempt& source);
    bool accept_event(attempt& source, stream_event event);
    static bool has_begun_event(const attempt& source);
    bool forward_event(attempt& source, const stream_event& event);
    std::size_t buffered_bytes(const attempt& source) const;
    void begin_stream();
    void handle_done(attempt& source, const http_outcome& outcome);
    response_kind classify_response(const attempt& source, const http_outcome& outcome) const;
    bool is_other_server(const attempt& source) const;
    void record_response(attempt& source, const http_outcome& outcome, response_kind kind);
    void record_broken(attempt& source, const http_outcome& outcome);
    void handle_response(response_kind kind);
    void handle_broken(const http_outcome& outcome);
    void handle_not_run(std::string_view reason);
    void record_response_start(attempt& source);
    void report_first_event(attempt& source, bool is_lost);
    void end_attempt(attempt& ended, exchange_outcome outcome);
    void cancel_attempt(attempt& cancelled, exchange_outcome outcome);
    void retry_or_fail(std::string_view reason, void (gateway_exchange::*fail)(std::string_view));
    void fail_not_run(std::string_view reason);
    void fail_broken(std::string_view reason);
    bool may_retry(time_point now);
    /// @return whether the request has crashed too many servers to be sent again
    bool is_quarantined() const;
    static lost_server attempted_server(const attempt& source);
    void record_answer(attempt& source, response_kind kind);
    void record_survival(attempt& source);
    void record_loss(const attempt& source);
    crash_suspect make_suspect(const attempt& source) const;
    void record_life(const attempt& source);
    void record_silence(const attempt& given_up, bool is_on_new_connection);
    void record_open_silence(const attempt& given_up);
    void record_server_signals(const attempt& source);
    void record_server_limit(const attempt& source);
    void deliver_response();
    void refuse(const refusal& details);
    void refuse_for(choice_failure failure_reason);
    void fail_deadline();
    void fail_unfinished(std::string_view reason, std::string message, milliseconds retry_delay);
    bool is_out_of_weights(const attempt& waiting, time_point now) const;
    void log_cancelled(std::string_view reason, time_point now) const;
    void leave_replaced_weights(time_point now);
    void leave_quarantine(time_point now);
    bool is_moving() const noexcept { return replacement_ != nullptr; }
    std::string_view reason_to_move(time_point now) const;
    void start_move(std::string_view reason, time_point now);
    void settle_move(time_point now);
    void end_move(move_decision decision, std::string_view reason, time_point now);
    void release_held_events();
    server_query make_query() const;
    void handle_disconnect();
    void finish(std::string_view outcome, int status);
    milliseconds time_left(time_point now) const;
    milliseconds stall_timeout() const;

    gateway_context& context_;
    server_request request_;                  ///< without its body
    std::shared_ptr<const std::string> body_; ///< counts towards the memory of received requests
    std::shared_ptr<http_responder> responder_;
    time_point received_at_;
    platform::caller_parameters caller_;

    std::shared_ptr<const traffic_view> view_; ///< keeps rule_ and workspace_ alive
    const route* rule_{nullptr};
    const workspace_config* workspace_{nullptr};
    std::string service_;
    std::uint64_t fingerprint_{0};      ///< equal for a request that a caller sends again
    std::vector<std::uint64_t> traits_; ///< the fingerprint, then the shared parts of the prompt
    time_point deadline_;

    std::shared_ptr<attempt> attempt_;      ///< nullptr before the first one
    std::shared_ptr<attempt> replacement_;  ///< at another server beside attempt_; nullptr: none
    std::shared_ptr<attempt> failure_;      ///< the last one that a server answered with a failure
    std::vector<stream_event> held_events_; ///< of attempt_, while there is a replacement
    std::size_t held_bytes_{0};             ///< size of held_events_
    std::string_view move_reason_;
    time_point move_started_at_;
    time_point last_forwarded_at_;
    int attempt_count_{0};
    std::vector<std::string> tried_servers_;
    run_verdict verdict_{run_verdict::not_run};
    std::optional<std::uint64_t> last_event_id_;
    bool is_event_due_{false};         ///< an attempt had begun an event that was not forwarded
    bool has_unnumbered_event_{false}; ///< forwarded, so that no server can go on after it
    std::uint64_t stream_weights_{0};
    std::size_t events_forwarded_{0};
    time_point first_event_at_;
    time_point next_move_check_;
    double assumed_load_{0}; ///< running requests that the last choice assumed at its server
    double expected_wait_ms_{0};
    double expected_arrivals_{0};          ///< requests that it assumed of all gateways of the zone
    std::uint64_t min_weights_version_{0}; ///< as taken for the last choice
    std::uint64_t held_weights_version_{0}; ///< of its server
    std::uint32_t report_age_ms_{0}; ///< age of the engine report that the last choice relied on
    bool is_done_{false};
};

} // namespace citronseam

#endif
