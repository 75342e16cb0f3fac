#include "programs/agent/agent_request.h"

#include "citronseam/process/log.h"
#include "citronseam/process/random.h"
#include "citronseam/process/sizes.h"
#include "citronseam/request/quarantine.h"

namespace citronseam {
namespace {

/// Retry delay sent with a refusal: a slot is likely to be free by then.
constexpr milliseconds admission_retry_after{200};
/// A backend server notices a closed connection only when it next writes to it, and works on the
/// request until then. The slot of an aborted request stays reserved for this long.
constexpr milliseconds backend_abort_delay{500};
/// For the connect after a response without length. The server is on the same machine.
constexpr milliseconds end_check_timeout{1000};
constexpr std::size_t max_buffered_bytes = 8 * mebibyte;
constexpr std::size_t max_data_frame_bytes = 64 * kibibyte;
constexpr int overloaded_status = 503;
constexpr std::string_view overload_header = "X-Engine-Overloaded";
/// Carries the hash of the prompt prefix to the engine, which repeats it in its cache events.
constexpr std::string_view cache_key_header = "X-Cache-Key";

/// @return whether a header applies to a single connection only (hop-by-hop) and is not forwarded.
/// The values in the list are placeholders: find_header() returns an empty value for an absent
/// header.
bool is_connection_header(const std::string& name) {
    static const std::vector<http_header> names{
        {"Connection", "x"},     {"Keep-Alive", "x"},       {"Transfer-Encoding", "x"},
        {"Content-Length", "x"}, {"Upgrade", "x"},          {"TE", "x"},
        {"Trailer", "x"},        {"Proxy-Connection", "x"}, {"Host", "x"},
        {"Expect", "x"}};
    return !find_header(names, name).empty();
}

std::vector<http_header> without_connection_headers(const std::vector<http_header>& headers) {
    std::vector<http_header> kept;
    for (const auto& header : headers) {
        if (!is_connection_header(header.name)) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace

agent_request::agent_request(agent_context& context, std::shared_ptr<peer_session> session,
                             const wire::request_start& message)
    : context_(context), session_(std::move(session)),
      received_at_(std::chrono::steady_clock::now()),
      unsent_(std::make_shared<frame_meter>(context.unsent_frames)) {
    message.UnPackTo(&message_);
}

milliseconds agent_request::time_left() const {
    const milliseconds budget(message_.budget_ms);
    const milliseconds spent(elapsed_ms(received_at_, std::chrono::steady_clock::now()));
    return budget > spent ? budget - spent : milliseconds(0);
}

void agent_request::start() {
    const refusal reason = context_.admission.try_admit(message_.isolated, ticket_);
    if (reason != refusal::none) {
        refuse(reason, "the backend server takes no more work now");
        return;
    }
    has_ticket_ = true;
    if (message_.idempotent) {
        dispatch();
    } else {
        claim_key();
    }
}

void agent_request::claim_key() {
    const control_view view = context_.state_sync.view();
    const service* found = find_service(view->accepted->content, message_.service);
    const milliseconds retention =
        found == nullptr ? service_limits{}.result_retention : found->limits.result_retention;
    auto random = seeded_random_source();
    claim_ = std::make_shared<key_claim>(
        context_, key_row_name(message_.service, message_.workspace, message_.key),
        unique_identifier(random), message_.fingerprint, retention);
    claim_->start(
        [self = shared_from_this()](const claim_outcome& outcome) { self->handle_claim(outcome); });
}

void agent_request::handle_claim(const claim_outcome& outcome) {
    if (outcome.is_replay) {
        context_.admission.release_ticket(ticket_);
        has_ticket_ = false;
        deliver(outcome.response, true);
        return;
    }
    if (outcome.reason != refusal::none) {
        context_.admission.release_ticket(ticket_);
        has_ticket_ = false;
        context_.process_metrics.count("citronseam_refusals_total",
                                       {{"reason", std::string(name(outcome.reason))}});
        send_end(outcome.verdict, outcome.reason, outcome.message, milliseconds(1000));
        return;
    }
    // The claim may have taken long, for example because the process was paused, so every condition
    // is checked again just before dispatch.
    const refusal reason =
        time_left().count() == 0 ? refusal::deadline : context_.admission.check();
    if (reason != refusal::none) {
        claim_->release();
        refuse(reason, "the request was not begun");
        return;
    }
    dispatch();
}

http_request agent_request::build_backend_request() const {
    http_request request;
    request.method = message_.method;
    request.url = "http://" + context_.options.backend_server.address + message_.target;
    for (const auto& header : message_.headers) {
        if (!is_connection_header(header->name)) {
            request.headers.push_back({header->name, header->value});
        }
    }
    if (message_.prefix != 0) {
        request.headers.push_back({std::string(cache_key_header), std::to_string(message_.prefix)});
    }
    request.body.assign(message_.body.begin(), message_.body.end());
    request.timeout = std::max(time_left(), milliseconds(1));
    // A response names no request, so on a kept connection a late one to an earlier request would
    // count as this one's.
    request.may_reuse_connection = false;
    return request;
}

void agent_request::dispatch() {
    if (is_cancelled_ && message_.idempotent) {
        refuse(refusal::cancelled, "the caller hung up");
        return;
    }
    dispatched_at_ = std::chrono::steady_clock::now();
    http_observer observer;
    observer.on_head = [self = shared_from_this()](int status,
                                                   const std::vector<http_header>& headers) {
        self->handle_head(status, headers);
    };
    observer.on_data = [self = shared_from_this()](std::string_view data) {
        return self->handle_data(data);
    };
    observer.on_done = [self = shared_from_this()](const http_outcome& outcome) {
        self->handle_done(outcome);
    };
    exchange_ = context_.backend.send(build_backend_request(), std::move(observer));
}

void agent_request::cancel() {
    is_cancelled_ = true;
    // A non-idempotent request that was dispatched runs to its end: its result is stored, so that a
    // retry with the same key gets it.
    if (message_.idempotent && exchange_ != 0) {
        context_.backend.cancel(exchange_);
    }
}

void agent_request::handle_entry_disconnect() {
    cancel();
}

void agent_request::handle_head(int status, const std::vector<http_header>& headers) {
    first_byte_ = milliseconds(elapsed_ms(dispatched_at_, std::chrono::steady_clock::now()));
    has_first_byte_ = true;
    is_overloaded_ = status == overloaded_status && !find_header(headers, overload_header).empty();
    if (is_overloaded_) {
        return;
    }
    buffered_response_.status = status;
    buffered_response_.headers = without_connection_headers(headers);
    if (message_.idempotent) {
        send_head(status, buffered_response_.headers, false);
    }
}

bool agent_request::handle_data(std::string_view data) {
    if (is_overloaded_) {
        return true;
    }
    if (message_.idempotent) {
        is_overlong_ = !send_data(data);
        return !is_overlong_ && session_->is_open();
    }
    std::string& body = buffered_response_.body;
    const std::size_t size = body.size() + data.size();
    is_overlong_ = size > max_buffered_bytes || !buffered_.resize(context_.backend.buffers(), size);
    if (is_overlong_) {
        body = {};
        return false;
    }
    body += data;
    return true;
}

void agent_request::handle_done(const http_outcome& outcome) {
    is_end_unstated_ = outcome.framing == body_framing::connection;
    if (outcome.is_complete && is_end_unstated_ && !is_overloaded_) {
        check_end(outcome);
    } else {
        handle_end(outcome);
    }
}

/// A backend server that crashes closes its connections, which looks like the end of a response
/// without length. Such a response counts only if it has a body and the server accepts connections
/// after it.
void agent_request::check_end(const http_outcome& outcome) {
    http_request request;
    request.url = "http://" + context_.options.backend_server.address;
    request.is_connect_only = true;
    request.may_reuse_connection = false;
    request.timeout = end_check_timeout;
    request.connect_timeout = end_check_timeout;
    http_observer observer;
    observer.on_done = [self = shared_from_this(), outcome](const http_outcome& connected) {
        self->is_alive_after_end_ = connected.is_complete;
        http_outcome checked = outcome;
        if (!connected.is_complete || outcome.body_bytes == 0) {
            checked.is_complete = false;
            checked.verdict = run_verdict::may_have_run;
            checked.message = connected.is_complete
                                  ? "the response has neither a length nor a body"
                                  : "no connection to the backend server after its response";
        }
        self->handle_end(checked);
    };
    context_.backend.send(std::move(request), std::move(observer));
}

void agent_request::handle_end(const http_outcome& outcome) {
    if (outcome.is_complete) {
        handle_complete_response();
        context_.on_request_ended();
    } else {
        handle_failure(outcome);
    }
}

void agent_request::release_ticket_later() {
    context_.control.post_after(backend_abort_delay, [self = shared_from_this()] {
        self->context_.admission.release_ticket(self->ticket_);
        self->context_.on_request_ended();
    });
}

void agent_request::record_run_time(const std::string& result) {
    const auto elapsed = std::chrono::steady_clock::now() - dispatched_at_;
    context_.process_metrics.observe("citronseam_backend_server_seconds",
                                     {{"service", message_.service},
                                      {"workspace", message_.workspace_label},
                                      {"class", message_.priority},
                                      {"result", result}},
                                     std::chrono::duration<double>(elapsed).count());
}

void agent_request::handle_complete_response() {
    record_run_time(is_overloaded_ ? "overloaded" : "answered");
    if (is_overloaded_) {
        context_.admission.release_ticket(ticket_);
        context_.admission.mark_cold(cold_reason::overloaded);
        if (claim_ != nullptr) {
            claim_->release();
        }
        // With this response the backend server states that it did not run the request.
        send_end(run_verdict::not_run, refusal::limit, "the backend server is overloaded",
                 admission_retry_after);
        return;
    }
    context_.admission.release_after_response(ticket_, first_byte_);
    if (claim_ == nullptr) {
        send_end(run_verdict::ran, refusal::none, "");
    } else {
        deliver(buffered_response_, false);
        if (is_end_unstated_) {
            // It may have been cut off, and a stored result is replayed as whole.
            context_.process_metrics.count("citronseam_key_results_total",
                                           {{"outcome", "end_unstated"}});
        } else {
            claim_->save_result(std::move(buffered_response_));
        }
    }
}

void agent_request::handle_failure(const http_outcome& outcome) {
    record_run_time("broken");
    if (outcome.verdict == run_verdict::not_run) {
        context_.admission.release_ticket(ticket_);
        context_.on_request_ended();
        if (claim_ != nullptr) {
            claim_->release();
        }
        context_.admission.mark_cold(cold_reason::connection_lost);
        send_end(run_verdict::not_run, refusal::backend_unreachable, outcome.message,
                 admission_retry_after);
        return;
    }
    release_ticket_later();
    if (is_overlong_) {
        send_overlong_end();
        return;
    }
    if (outcome.is_cancelled) {
        send_end(run_verdict::may_have_run, refusal::cancelled, "the caller hung up");
        return;
    }
    if (outcome.is_timed_out) {
        send_end(run_verdict::may_have_run, refusal::deadline, outcome.message);
        return;
    }
    if (!is_alive_after_end_) {
        context_.admission.mark_cold(cold_reason::connection_lost);
        // A server that sends a malformed head has not crashed.
        if (!outcome.is_malformed) {
            context_.report_backend_loss(message_.fingerprint);
        }
    }
    send_end(run_verdict::may_have_run, refusal::backend_lost, outcome.message);
}

void agent_request::deliver(const complete_response& response, bool is_replay) {
    if (send_response(response, is_replay)) {
        send_end(run_verdict::ran, refusal::none, "");
    } else {
        send_overlong_end();
    }
}

/// @return false if it is not sent whole
bool agent_request::send_response(const complete_response& response, bool is_replay) {
    send_head(response.status, response.headers, is_replay);
    std::string_view rest = response.body;
    while (!rest.empty()) {
        const std::string_view frame_data = rest.substr(0, max_data_frame_bytes);
        if (!send_data(frame_data)) {
            return false;
        }
        rest.remove_prefix(frame_data.size());
    }
    return true;
}

void agent_request::send_overlong_end() {
    log_event(log_level::warning, "response_discarded",
              {{"request", message_.request}, {"sent_bytes", sent_digest_.total}});
    send_end(run_verdict::may_have_run, refusal::backend_lost, "there is no room for the answer");
}

void agent_request::send_head(int status, const std::vector<http_header>& headers, bool is_replay) {
    wire::response_headT head;
    head.request = message_.request;
    head.status = static_cast<std::uint16_t>(status);
    head.headers = headers_to_wire(headers);
    head.model_version = find_header(headers, "X-Model-Version");
    head.replayed = is_replay;
    session_->send(make_frame(std::move(head)));
}

bool agent_request::send_data(std::string_view data) {
    shared_frame frame = unsent_->add(make_data_frame(message_.request, sent_digest_.total, data));
    if (frame == nullptr) {
        return false;
    }
    append(sent_digest_, data);
    session_->send(std::move(frame));
    return true;
}

void agent_request::send_end(run_verdict verdict, refusal reason, const std::string& message,
                             milliseconds retry_after) {
    wire::response_endT end;
    end.request = message_.request;
    end.total = sent_digest_.total;
    end.checksum = sent_digest_.checksum;
    end.verdict = to_wire(verdict);
    end.refusal = to_wire(reason);
    end.message = message;
    end.retry_after_ms = static_cast<std::uint32_t>(retry_after.count());
    end.is_end_unstated = is_end_unstated_;
    session_->send(make_frame(std::move(end)));
}

void agent_request::refuse(refusal reason, const std::string& message) {
    if (has_ticket_) {
        context_.admission.release_ticket(ticket_);
        has_ticket_ = false;
    }
    context_.process_metrics.count("citronseam_refusals_total",
                                   {{"reason", std::string(name(reason))}});
    send_end(run_verdict::not_run, reason, message, admission_retry_after);
    if (reason == refusal::limit) {
        // After the refusal, so that the report of the next free place is not older than it.
        context_.admission.record_limit_refusal();
    }
    context_.on_request_ended();
}

} // namespace citronseam
