/// @file
/// One caller's request from its arrival to its final answer.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_GATEWAY_EXCHANGE_H
#define CITRONSEAM_PROGRAMS_GATEWAY_GATEWAY_EXCHANGE_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronseam/connection/http_server.h"
#include "citronseam/process/clock.h"
#include "citronseam/request/event_stream.h"
#include "citronseam/request/verdict.h"
#include "platform/http_headers.h"
#include "programs/gateway/gateway_context.h"

namespace citronseam {

/// Sends a request to a backend server, to another one when that is allowed, and answers. It keeps
/// itself alive until it has answered. Everything runs on the traffic thread.
class gateway_exchange : public std::enable_shared_from_this<gateway_exchange> {
public:
    gateway_exchange(gateway_context& context, server_request request,
                     std::shared_ptr<http_responder> responder, time_point received_at);
    ~gateway_exchange();
    gateway_exchange(const gateway_exchange&) = delete;
    gateway_exchange& operator=(const gateway_exchange&) = delete;

    /// Begins.
    void start();
    /// Ends what has taken too long. Called again and again while the request is under way.
    void check_time(time_point now);
    /// @return whether the final answer was given
    bool is_done() const noexcept { return is_done_; }

private:
    /// With less than this left a backend server cannot finish anything.
    static constexpr milliseconds least_time_to_send{20};

    /// One sending to one backend server.
    struct attempt {
        std::uint64_t number{0}; ///< of the HTTP exchange
        double unread_ms{0};     ///< time to read the prompt, 0 once the answer began
        std::shared_ptr<server_state> server;
        time_point began_at;
        time_point heard_at; ///< of the last part of the answer
        bool has_head{false};
        int status{0};
        std::vector<http_header> headers;
        platform::answer_terms terms;
        std::string body; ///< of an answer that is not passed on event by event
        event_buffer events;
        bool is_stream{false};
        bool is_unusable{false}; ///< cancelled, since the answer cannot be the request's own
    };

    /// Why a request ends without a backend server's answer.
    struct refusal_terms {
        int status{503};
        std::string_view reason;
        std::string message;
        milliseconds retry_after{0};
    };

    bool find_target();
    void send_next();
    void send_to(const server_offer& offer);
    http_observer make_observer(std::uint64_t generation);
    void handle_head(int status, const std::vector<http_header>& headers);
    bool handle_data(std::string_view data);
    bool pass_on_events();
    bool pass_on(const stream_event& event);
    void begin_stream();
    void handle_done(const http_outcome& outcome);
    void handle_answer(const http_outcome& outcome);
    void handle_broken(const http_outcome& outcome);
    void handle_not_run(std::string_view why);
    void note_answer_began();
    void end_attempt(exchange_standing standing);
    void cancel_attempt(exchange_standing standing);
    void retry_or(std::string_view why, void (gateway_exchange::*give_up)(std::string_view));
    void give_up_not_run(std::string_view why);
    void give_up_broken(std::string_view why);
    bool may_send_again(time_point now);
    void deliver();
    void refuse(const refusal_terms& terms);
    void refuse_for(choice_obstacle obstacle);
    void end_late();
    void move(std::string_view why, time_point now);
    bool leave_before_load(time_point now);
    server_wish make_wish() const;
    void hang_up();
    void finish(std::string_view outcome, int status);
    milliseconds time_left(time_point now) const;
    milliseconds patience_for_part() const;

    gateway_context& context_;
    server_request request_;
    std::shared_ptr<http_responder> responder_;
    time_point received_at_;
    platform::caller_terms terms_;

    std::shared_ptr<const traffic_view> view_; ///< keeps rule_ and workspace_ alive
    const route* rule_{nullptr};
    const routed_workspace* workspace_{nullptr};
    std::string service_;
    time_point deadline_;

    attempt attempt_;
    std::uint64_t generation_{0}; ///< tells the present attempt from earlier ones
    int sendings_{0};
    std::vector<std::string> tried_;
    run_verdict verdict_{run_verdict::not_run};
    std::optional<std::uint64_t> last_event_;
    std::uint64_t stream_weights_{0};
    std::size_t events_passed_{0};
    time_point first_part_at_;
    time_point next_leave_check_;
    double chosen_busy_{0}; ///< what the last choice assumed to run at its server
    double expected_wait_ms_{0};
    std::uint32_t report_age_ms_{0}; ///< how old the report behind it was
    bool is_done_{false};
};

} // namespace citronseam

#endif
