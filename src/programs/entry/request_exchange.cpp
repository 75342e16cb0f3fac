#include "programs/entry/request_exchange.h"

#include <algorithm>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"
#include "programs/entry/error_response.h"

namespace citronseam {
namespace {

/// A response that is not a stream is buffered until it is complete, up to this size, so that a
/// connection lost in the middle can still be reported as an error or be retried.
constexpr std::size_t max_buffered_bytes = mebibyte;
/// Longest end of an event.
constexpr std::size_t event_end_bytes = 3;
constexpr std::string_view event_stream_type = "text/event-stream";

std::uint64_t next_id() {
    static std::atomic<std::uint64_t> counter{0};
    return ++counter;
}

bool is_stream_type(const std::vector<http_header>& headers) {
    return find_header(headers, "Content-Type").rfind(event_stream_type, 0) == 0;
}

} // namespace

bool is_transient(refusal reason) noexcept {
    switch (reason) {
    case refusal::limit:
    case refusal::availability_zone_out:
    case refusal::leaving:
    case refusal::not_ready:
    case refusal::stale_evidence:
    case refusal::version_changed:
        return true;
    default:
        return false;
    }
}

request_exchange::request_exchange(entry_context& context,
                                   std::shared_ptr<service_dispatcher> dispatcher,
                                   caller_request request,
                                   std::shared_ptr<http_responder> responder)
    : context_(context), dispatcher_(std::move(dispatcher)), request_(std::move(request)),
      responder_(std::move(responder)), strand_(asio::make_strand(context.traffic.context())),
      deadline_timer_(strand_), id_(next_id()), arrived_at_(std::chrono::steady_clock::now()),
      deadline_(arrived_at_ + request_.timeout),
      waiting_parts_(std::make_shared<frame_meter>(context.response_buffers)) {
    trace_.request_id = request_.request_id;
    trace_.service = request_.service;
    trace_.workspace = request_.workspace;
    trace_.is_idempotent = request_.is_idempotent;
    trace_.fingerprint = request_.fingerprint;
    trace_.arrived_at_ms = wall_clock_ms();
}

template<typename Work>
void request_exchange::post_to_strand(Work work) {
    asio::post(strand_, [self = shared_from_this(), work = std::move(work)]() mutable { work(); });
}

milliseconds request_exchange::time_left() const {
    return milliseconds(elapsed_ms(std::chrono::steady_clock::now(), deadline_));
}

queued_request request_exchange::queue_entry() const {
    queued_request entry;
    entry.id = id_;
    entry.workspace = request_.workspace;
    entry.weight = request_.weight;
    entry.workspace_limit = request_.workspace_queue_limit;
    entry.priority = request_.priority;
    entry.deadline = deadline_;
    return entry;
}

void request_exchange::start() {
    post_to_strand([this] {
        if (refuse_if_quarantined()) {
            return;
        }
        responder_->on_disconnect([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->post_to_strand([raw = self.get()] { raw->handle_caller_disconnect(); });
            }
        });
        start_deadline_timer();
        dispatcher_->submit(shared_from_this());
    });
}

bool request_exchange::refuse_if_quarantined() {
    const quarantine_status status = context_.crashes.status_of(request_.fingerprint);
    is_suspected_ = status == quarantine_status::suspected;
    if (status != quarantine_status::refused) {
        return false;
    }
    fail({verdict_, refusal::quarantined,
          "this request brought down backend servers; it is refused",
          context_.crashes.expires_in(request_.fingerprint)});
    return true;
}

void request_exchange::start_deadline_timer() {
    deadline_timer_.expires_at(deadline_);
    deadline_timer_.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
        if (!cancelled) {
            self->handle_deadline();
        }
    });
}

void request_exchange::handle_deadline() {
    if (is_done_) {
        return;
    }
    const bool has_active_attempt = attempt_.id != 0;
    if (has_active_attempt) {
        verdict_ = combine_verdicts(verdict_, run_verdict::may_have_run);
        cancel_attempt();
    } else {
        dispatcher_->remove_waiting(*this);
    }
    fail({verdict_, refusal::deadline, "no whole answer before the deadline",
          dispatcher_->retry_after_hint()});
}

void request_exchange::handle_caller_disconnect() {
    if (is_done_) {
        return;
    }
    if (attempt_.id != 0) {
        cancel_attempt();
    } else {
        dispatcher_->remove_waiting(*this);
    }
    responder_->abort();
    finish("hung_up");
}

void request_exchange::dispatch_to(std::shared_ptr<backend_server_link> link) {
    post_to_strand([this, link = std::move(link)] { begin_attempt(link, false); });
}

/// Sends the request unless it may not run any more. A request that has crashed a server is sent
/// only after the other entries have the reports of it, and this one has theirs: its caller may
/// repeat it at any of them once it has crashed another server.
/// @param is_checked whether the other entries were asked for this attempt
void request_exchange::begin_attempt(const std::shared_ptr<backend_server_link>& link,
                                     bool is_checked) {
    // It may have waited for a server or for the other entries meanwhile.
    if (is_done_ || refuse_if_quarantined()) {
        link->load().outstanding.fetch_sub(1, std::memory_order_relaxed);
        dispatcher_->handle_attempt_end(false);
        return;
    }
    if (is_suspected_ && !is_checked) {
        context_.crash_checks.start([self = shared_from_this(), link] {
            self->post_to_strand([raw = self.get(), link] { raw->begin_attempt(link, true); });
        });
        return;
    }
    send_attempt(link);
}

void request_exchange::send_attempt(const std::shared_ptr<backend_server_link>& link) {
    ++attempts_;
    attempt_ = {};
    attempt_.id = next_id();
    attempt_.link = link;
    trace_.attempts.push_back({link->instance(),
                               elapsed_ms(arrived_at_, std::chrono::steady_clock::now()), 0,
                               run_verdict::may_have_run, refusal::none});
    if (!link->send_request(attempt_.id, shared_from_this(), make_request_frame(attempt_.id))) {
        end_attempt({run_verdict::not_run, refusal::backend_unreachable,
                     "the connection to the agent is closed", milliseconds(0)});
    }
}

shared_frame request_exchange::make_request_frame(std::uint64_t attempt) const {
    wire::request_startT message;
    message.request = attempt;
    message.service = request_.service;
    message.workspace = request_.workspace;
    message.method = request_.method;
    message.target = request_.target;
    message.headers = headers_to_wire(request_.headers);
    message.body.assign(request_.body.begin(), request_.body.end());
    message.budget_ms = static_cast<std::uint32_t>(time_left().count());
    message.idempotent = request_.is_idempotent;
    message.key = request_.idempotency_key;
    message.fingerprint = request_.fingerprint;
    message.isolated = is_suspected_;
    message.generation = accepted_generation(*context_.state_sync.view());
    message.priority = name(request_.priority);
    message.workspace_label = request_.workspace_label;
    message.prefix = request_.prompt_prefix_hash;
    return make_frame(std::move(message));
}

void request_exchange::handle_head(std::uint64_t attempt, const wire::response_head& message) {
    post_to_strand(
        [this, attempt, status = message.status(), headers = headers_from_wire(message.headers()),
         version = std::string(view(message.model_version())), is_replayed = message.replayed()] {
            if (is_done_ || attempt != attempt_.id) {
                return;
            }
            attempt_.has_head = true;
            attempt_.status = status;
            attempt_.headers = headers;
            attempt_.model_version = version;
            attempt_.is_replayed = is_replayed;
            attempt_.is_stream = is_stream_type(headers);
        });
}

/// Parts wait for the strand, so they count towards the memory for responses from here on. One for
/// which there is no room is left out, as if it had been lost on the way.
void request_exchange::handle_data(std::uint64_t attempt, const wire::response_data& message) {
    const std::string_view received = view(message.data());
    const shared_frame part = waiting_parts_->add(
        std::make_shared<const std::vector<std::uint8_t>>(received.begin(), received.end()));
    post_to_strand([this, attempt, offset = message.offset(), part] {
        if (is_done_ || attempt != attempt_.id) {
            return;
        }
        if (part == nullptr || !attempt_.has_head || !is_next_part(attempt_.received, offset)) {
            cancel_attempt();
            fail({run_verdict::may_have_run, refusal::backend_lost,
                  part == nullptr ? "there is no room for the answer"
                                  : "a part of the answer is missing",
                  dispatcher_->retry_after_hint()});
            return;
        }
        const std::string data(part->begin(), part->end());
        append(attempt_.received, data);
        attempt_.tail.append(data);
        if (attempt_.tail.size() > event_end_bytes) {
            attempt_.tail.erase(0, attempt_.tail.size() - event_end_bytes);
        }
        forward_data(data);
    });
}

void request_exchange::forward_data(std::string_view data) {
    if (!attempt_.is_stream) {
        attempt_.buffered += data;
        const std::size_t size = attempt_.buffered.size();
        attempt_.is_stream =
            size > max_buffered_bytes || !attempt_.share.resize(context_.response_buffers, size);
        if (!attempt_.is_stream) {
            return;
        }
        data = attempt_.buffered;
    }
    if (!has_sent_to_caller_) {
        has_sent_to_caller_ = true;
        responder_->begin(attempt_.status, response_headers());
        const auto elapsed = std::chrono::steady_clock::now() - arrived_at_;
        context_.process_metrics.observe(
            "citronseam_first_byte_seconds",
            {{"service", request_.service}, {"workspace", request_.workspace_label}},
            std::chrono::duration<double>(elapsed).count());
    }
    responder_->write(data);
    attempt_.buffered = {};
    attempt_.share = {};
}

std::vector<http_header> request_exchange::response_headers() const {
    std::vector<http_header> headers = attempt_.headers;
    headers.push_back({"X-Run-Verdict", std::string(name(run_verdict::ran))});
    headers.push_back({"X-Served-By", attempt_.link->instance()});
    headers.push_back({"X-Request-Id", request_.request_id});
    if (attempt_.is_replayed) {
        headers.push_back({"X-Replayed", "true"});
    }
    return headers;
}

void request_exchange::handle_end(std::uint64_t attempt, const wire::response_end& message) {
    const response_digest sent{message.total(), message.checksum()};
    const bool is_end_unstated = message.is_end_unstated();
    attempt_outcome outcome{from_wire(message.verdict()), from_wire(message.refusal()),
                            std::string(view(message.message())),
                            milliseconds(message.retry_after_ms())};
    post_to_strand([this, attempt, sent, is_end_unstated, outcome = std::move(outcome)]() mutable {
        if (is_done_ || attempt != attempt_.id) {
            return;
        }
        if (outcome.reason != refusal::none) {
            end_attempt(std::move(outcome));
            return;
        }
        if (!attempt_.has_head || !is_body_complete(attempt_.received, sent)) {
            end_attempt({run_verdict::may_have_run, refusal::backend_lost,
                         "the answer did not arrive whole", milliseconds(0)});
            return;
        }
        if (is_end_unstated && has_sent_to_caller_ && !is_event_end_proven()) {
            end_attempt({run_verdict::may_have_run, refusal::backend_lost,
                         "the end of the answer is not stated", milliseconds(0)});
            return;
        }
        deliver_response(is_end_unstated);
    });
}

/// The last chunk to the caller says that the response is complete. Without a statement of the
/// backend server, only an event stream that ends between two events may get it.
bool request_exchange::is_event_end_proven() const {
    return is_stream_type(attempt_.headers) &&
           (attempt_.tail.ends_with("\n\n") || attempt_.tail.ends_with("\n\r\n"));
}

void request_exchange::deliver_response(bool is_end_unstated) {
    if (has_sent_to_caller_) {
        responder_->finish();
    } else if (is_end_unstated) {
        responder_->respond_until_close(attempt_.status, response_headers(), attempt_.buffered);
    } else {
        responder_->respond(attempt_.status, response_headers(), attempt_.buffered);
    }
    if (is_suspected_) {
        context_.crashes.release(request_.fingerprint);
    }
    if (request_.prompt_prefix_hash != 0) {
        dispatcher_->record_prefix(request_.prompt_prefix_hash, *attempt_.link);
    }
    trace_.model_version = attempt_.model_version;
    release_attempt(true, run_verdict::ran, refusal::none);
    finish("answered");
}

void request_exchange::handle_connection_lost(std::uint64_t attempt, close_reason reason) {
    post_to_strand([this, attempt, reason] {
        if (is_done_ || attempt != attempt_.id) {
            return;
        }
        end_attempt({run_verdict::may_have_run, refusal::backend_lost,
                     "the connection to the agent was lost: " + std::string(name(reason)),
                     milliseconds(0)});
    });
}

void request_exchange::end_attempt(attempt_outcome outcome) {
    const backend_server_load* tried = &attempt_.link->load();
    release_attempt(false, outcome.verdict, outcome.reason);
    verdict_ = combine_verdicts(verdict_, outcome.verdict);
    outcome.verdict = verdict_;
    excluded_.push_back(tried);
    if (outcome.reason == refusal::backend_lost) {
        const quarantine_status status = context_.crashes.status_of(request_.fingerprint);
        is_suspected_ = status == quarantine_status::suspected;
    }
    retry_or_fail(outcome);
}

bool request_exchange::can_retry(const attempt_outcome& outcome) {
    if (!may_retry(outcome, request_.is_idempotent, has_sent_to_caller_)) {
        return false;
    }
    if (context_.crashes.status_of(request_.fingerprint) == quarantine_status::refused) {
        return false;
    }
    if (time_left().count() == 0) {
        return false;
    }
    if (is_transient(outcome.reason)) {
        return true;
    }
    return dispatcher_->try_spend_retry();
}

void request_exchange::retry_or_fail(const attempt_outcome& outcome) {
    if (!can_retry(outcome)) {
        fail(outcome);
        return;
    }
    context_.process_metrics.count(
        "citronseam_retries_total",
        {{"service", request_.service}, {"reason", std::string(name(outcome.reason))}});
    // A request that must run alone does not keep the others behind it waiting for that.
    if (is_transient(outcome.reason) && !is_suspected_) {
        dispatcher_->resubmit(shared_from_this());
    } else {
        dispatcher_->submit(shared_from_this());
    }
}

void request_exchange::reject(refusal reason, milliseconds retry_after, std::string message) {
    post_to_strand([this, reason, retry_after, message = std::move(message)] {
        if (!is_done_) {
            fail({verdict_, reason, message, retry_after});
        }
    });
}

void request_exchange::fail(attempt_outcome outcome) {
    if (has_sent_to_caller_) {
        responder_->abort();
        finish("aborted");
        return;
    }
    if (outcome.retry_after.count() == 0) {
        outcome.retry_after = dispatcher_->retry_after_hint();
    }
    send_error_response(*responder_, request_.request_id, outcome);
    finish(std::string(name(outcome.reason)));
}

void request_exchange::release_attempt(bool is_answered, run_verdict verdict, refusal reason) {
    if (attempt_.id == 0) {
        return;
    }
    trace_attempt& tried = trace_.attempts.back();
    tried.ended_ms = elapsed_ms(arrived_at_, std::chrono::steady_clock::now());
    tried.verdict = verdict;
    tried.reason = reason;
    attempt_.link->remove_exchange(attempt_.id);
    attempt_.link->load().outstanding.fetch_sub(1, std::memory_order_relaxed);
    attempt_.id = 0;
    dispatcher_->handle_attempt_end(is_answered);
}

void request_exchange::cancel_attempt() {
    wire::request_cancelT message;
    message.request = attempt_.id;
    attempt_.link->session()->send(make_frame(message));
    release_attempt(false, run_verdict::may_have_run, refusal::cancelled);
}

void request_exchange::finish(const std::string& result) {
    is_done_ = true;
    deadline_timer_.cancel();
    const auto elapsed = std::chrono::steady_clock::now() - arrived_at_;
    context_.process_metrics.observe("citronseam_request_seconds",
                                     {{"service", request_.service},
                                      {"workspace", request_.workspace_label},
                                      {"class", std::string(name(request_.priority))},
                                      {"result", result}},
                                     std::chrono::duration<double>(elapsed).count());
    trace_.duration_ms = elapsed_ms(arrived_at_, std::chrono::steady_clock::now());
    trace_.result = result;
    if (result != "hung_up") {
        context_.latencies.add(request_.service, trace_.duration_ms, result == "answered");
    }
    context_.traces.add(std::move(trace_));
}

} // namespace citronseam
