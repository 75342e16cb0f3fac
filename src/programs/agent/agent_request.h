/// @file
/// One request at an agent, from its admission to the end of its response.
#ifndef CITRONSEAM_PROGRAMS_AGENT_AGENT_REQUEST_H
#define CITRONSEAM_PROGRAMS_AGENT_AGENT_REQUEST_H

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "citronseam/connection/frame_meter.h"
#include "citronseam/connection/peer_session.h"
#include "citronseam/request/admission.h"
#include "citronseam/request/response_digest.h"
#include "programs/agent/agent_context.h"
#include "programs/agent/key_claim.h"

namespace citronseam {

/// Runs one request on the backend server and sends the response to the entry. The object keeps
/// itself alive until the HTTP exchange has ended.
class agent_request : public std::enable_shared_from_this<agent_request> {
public:
    /// @param context shared state of the agent
    /// @param session connection to the entry
    /// @param message the request; it is copied
    agent_request(agent_context& context, std::shared_ptr<peer_session> session,
                  const wire::request_start& message);

    /// Admits and runs the request, or refuses it.
    void start();
    /// Handles a caller that disconnected: aborts the exchange with the backend server if the
    /// request is idempotent; any other request runs to its end.
    void cancel();
    /// Handles a closed connection to the entry: an idempotent request is aborted, any other
    /// request runs to its end so that its result can be stored.
    void handle_entry_disconnect();

    /// @return the number that the entry assigned to the request
    std::uint64_t number() const noexcept { return message_.request; }

private:
    void claim_key();
    void handle_claim(const claim_outcome& outcome);
    void dispatch();
    http_request build_backend_request() const;
    void handle_head(int status, const std::vector<http_header>& headers);
    bool handle_data(std::string_view data);
    void handle_done(const http_outcome& outcome);
    void check_end(const http_outcome& outcome);
    void handle_end(const http_outcome& outcome);
    void handle_complete_response();
    void handle_failure(const http_outcome& outcome);
    void release_ticket_later();
    void record_run_time(const std::string& result);
    void deliver(const complete_response& response, bool is_replay);
    bool send_response(const complete_response& response, bool is_replay);
    void send_head(int status, const std::vector<http_header>& headers, bool is_replay);
    /// @return false if too much of the response waits for the entry
    bool send_data(std::string_view data);
    void send_overlong_end();
    void send_end(run_verdict verdict, refusal reason, const std::string& message,
                  milliseconds retry_after = milliseconds(0));
    void refuse(refusal reason, const std::string& message);
    milliseconds time_left() const;

    agent_context& context_;
    std::shared_ptr<peer_session> session_;
    wire::request_startT message_;
    time_point received_at_;
    time_point dispatched_at_;
    admission_ticket ticket_;
    bool has_ticket_{false};
    std::shared_ptr<key_claim> claim_;

    std::atomic<bool> is_cancelled_{false};
    std::atomic<std::uint64_t> exchange_{0};

    milliseconds first_byte_{0};
    bool has_first_byte_{false};
    bool is_overloaded_{false};
    bool is_alive_after_end_{false};      ///< the server accepted a connection after the response
    bool is_end_unstated_{false};         ///< the response has neither a length nor chunks
    bool is_overlong_{false};             ///< there is no room for what it sent
    complete_response buffered_response_; ///< non-idempotent requests only
    buffer_share buffered_;               ///< of its body
    std::shared_ptr<frame_meter> unsent_; ///< what the entry has yet to take
    response_digest sent_digest_;
};

} // namespace citronseam

#endif
