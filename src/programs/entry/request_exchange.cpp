#include "programs/entry/request_exchange.h"

#include <algorithm>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"
#include "programs/entry/error_response.h"

namespace citronseam {
namespace {

/// An answer that is not a stream is held back until it is whole, up to this size, so that a loss
/// in the middle can still be told as an error or be repaired by a retry.
constexpr std::size_t largest_buffered = mebibyte;
constexpr std::string_view stream_type = "text/event-stream";

std::uint64_t next_number() {
    static std::atomic<std::uint64_t> counter{0};
    return ++counter;
}

bool is_stream_type(const std::vector<http_header>& headers) {
    return find_header(headers, "Content-Type").rfind(stream_type, 0) == 0;
}

/// Refusals that say something about the moment and not about the request; trying another backend
/// server after them is no retry in the sense of the budget.
bool is_momentary(refusal reason) {
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

} // namespace

request_exchange::request_exchange(entry_context& context,
                                   std::shared_ptr<service_dispatcher> dispatcher,
                                   caller_request request,
                                   std::shared_ptr<http_responder> responder)
    : context_(context), dispatcher_(std::move(dispatcher)), request_(std::move(request)),
      responder_(std::move(responder)), strand_(asio::make_strand(context.traffic.context())),
      deadline_timer_(strand_), number_(next_number()), arrived_(std::chrono::steady_clock::now()),
      deadline_(arrived_ + request_.budget) {
    trace_.request_id = request_.request_id;
    trace_.service = request_.service;
    trace_.workspace = request_.workspace;
    trace_.is_idempotent = request_.is_idempotent;
    trace_.fingerprint = request_.fingerprint;
    trace_.arrived_at_ms = wall_clock_ms();
}

template<typename Work>
void request_exchange::run(Work work) {
    asio::post(strand_, [self = shared_from_this(), work = std::move(work)]() mutable { work(); });
}

milliseconds request_exchange::time_left() const {
    return milliseconds(elapsed_ms(std::chrono::steady_clock::now(), deadline_));
}

queued_request request_exchange::queue_entry() const {
    queued_request entry;
    entry.id = number_;
    entry.workspace = request_.workspace;
    entry.weight = request_.weight;
    entry.workspace_limit = request_.workspace_limit;
    entry.priority = request_.priority;
    entry.deadline = deadline_;
    return entry;
}

void request_exchange::start() {
    run([this] {
        const crash_standing standing = context_.crashes.standing(request_.fingerprint);
        if (standing == crash_standing::refused) {
            fail({run_verdict::not_run, refusal::quarantined,
                  "this request brought down backend servers; it is refused",
                  context_.crashes.expires_in(request_.fingerprint)});
            return;
        }
        is_suspected_ = standing == crash_standing::suspected;
        responder_->on_hang_up([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->run([raw = self.get()] { raw->handle_hang_up(); });
            }
        });
        arm_deadline();
        dispatcher_->submit(shared_from_this());
    });
}

void request_exchange::arm_deadline() {
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
    const bool is_under_way = attempt_.number != 0;
    if (is_under_way) {
        verdict_ = combine(verdict_, run_verdict::may_have_run);
        cancel_attempt();
    } else {
        dispatcher_->withdraw(*this);
    }
    fail({verdict_, refusal::deadline, "no whole answer before the deadline",
          dispatcher_->time_to_return()});
}

void request_exchange::handle_hang_up() {
    if (is_done_) {
        return;
    }
    if (attempt_.number != 0) {
        cancel_attempt();
    } else {
        dispatcher_->withdraw(*this);
    }
    responder_->abort();
    finish("hung_up");
}

void request_exchange::dispatch_to(std::shared_ptr<backend_server_link> link) {
    run([this, link = std::move(link)] {
        if (is_done_) {
            link->load().outstanding.fetch_sub(1, std::memory_order_relaxed);
            dispatcher_->note_finished(false);
            return;
        }
        send_attempt(link);
    });
}

void request_exchange::send_attempt(const std::shared_ptr<backend_server_link>& link) {
    ++attempts_;
    attempt_ = {};
    attempt_.number = next_number();
    attempt_.link = link;
    trace_.attempts.push_back({link->instance(),
                               elapsed_ms(arrived_, std::chrono::steady_clock::now()), 0,
                               run_verdict::may_have_run, refusal::none});
    if (!link->send_request(attempt_.number, shared_from_this(), make_request(attempt_.number))) {
        end_attempt({run_verdict::not_run, refusal::backend_unreachable,
                     "the connection to the agent is closed", milliseconds(0)});
    }
}

shared_frame request_exchange::make_request(std::uint64_t attempt) const {
    wire::request_startT message;
    message.request = attempt;
    message.service = request_.service;
    message.workspace = request_.workspace;
    message.method = request_.method;
    message.target = request_.target;
    message.headers = write_headers(request_.headers);
    message.body.assign(request_.body.begin(), request_.body.end());
    message.budget_ms = static_cast<std::uint32_t>(time_left().count());
    message.idempotent = request_.is_idempotent;
    message.key = request_.key;
    message.fingerprint = request_.fingerprint;
    message.isolated = is_suspected_;
    message.generation = generation_of(*context_.hub.view());
    message.priority = name(request_.priority);
    message.workspace_label = request_.workspace_label;
    message.prefix = request_.prefix;
    return make_frame(std::move(message));
}

void request_exchange::handle_head(std::uint64_t attempt, const wire::response_head& message) {
    run([this, attempt, status = message.status(), headers = read_headers(message.headers()),
         version = std::string(view(message.model_version())), is_replayed = message.replayed()] {
        if (is_done_ || attempt != attempt_.number) {
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

void request_exchange::handle_data(std::uint64_t attempt, const wire::response_data& message) {
    run([this, attempt, offset = message.offset(), data = std::string(view(message.data()))] {
        if (is_done_ || attempt != attempt_.number) {
            return;
        }
        if (!attempt_.has_head || !is_next_part(attempt_.received, offset)) {
            cancel_attempt();
            fail({run_verdict::may_have_run, refusal::backend_lost,
                  "a part of the answer is missing", dispatcher_->time_to_return()});
            return;
        }
        append(attempt_.received, data);
        take_data(data);
    });
}

void request_exchange::take_data(std::string_view data) {
    if (!attempt_.is_stream) {
        attempt_.buffered += data;
        attempt_.is_stream = attempt_.buffered.size() > largest_buffered;
        if (!attempt_.is_stream) {
            return;
        }
        data = attempt_.buffered;
    }
    if (!has_caller_bytes_) {
        has_caller_bytes_ = true;
        responder_->begin(attempt_.status, answer_headers());
        const auto taken = std::chrono::steady_clock::now() - arrived_;
        context_.numbers.observe(
            "citronseam_first_byte_seconds",
            {{"service", request_.service}, {"workspace", request_.workspace_label}},
            std::chrono::duration<double>(taken).count());
    }
    responder_->write(data);
    attempt_.buffered.clear();
}

std::vector<http_header> request_exchange::answer_headers() const {
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
    const answer_check sent{message.total(), message.checksum()};
    attempt_outcome outcome{from_wire(message.verdict()), from_wire(message.refusal()),
                            std::string(view(message.message())),
                            milliseconds(message.retry_after_ms())};
    run([this, attempt, sent, outcome = std::move(outcome)]() mutable {
        if (is_done_ || attempt != attempt_.number) {
            return;
        }
        if (outcome.reason != refusal::none) {
            end_attempt(std::move(outcome));
            return;
        }
        if (!attempt_.has_head || !is_whole(attempt_.received, sent)) {
            end_attempt({run_verdict::may_have_run, refusal::backend_lost,
                         "the answer did not arrive whole", milliseconds(0)});
            return;
        }
        deliver_whole();
    });
}

void request_exchange::deliver_whole() {
    if (has_caller_bytes_) {
        responder_->finish();
    } else {
        responder_->respond(attempt_.status, answer_headers(), attempt_.buffered);
    }
    if (is_suspected_) {
        context_.crashes.release(request_.fingerprint);
    }
    if (request_.prefix != 0) {
        dispatcher_->note_prefix(request_.prefix, *attempt_.link);
    }
    trace_.model_version = attempt_.model_version;
    release_attempt(true, run_verdict::ran, refusal::none);
    finish("answered");
}

void request_exchange::handle_lost(std::uint64_t attempt, close_reason reason) {
    run([this, attempt, reason] {
        if (is_done_ || attempt != attempt_.number) {
            return;
        }
        end_attempt({run_verdict::may_have_run, refusal::backend_lost,
                     "the connection to the agent was lost: " + std::string(name(reason)),
                     milliseconds(0)});
    });
}

void request_exchange::end_attempt(attempt_outcome outcome) {
    const backend_server_load* tried = &attempt_.link->load();
    if (is_momentary(outcome.reason)) {
        // Its agent says that it takes nothing now: until the next heartbeat this is the newest
        // word.
        attempt_.link->load().limit.store(0, std::memory_order_relaxed);
    }
    release_attempt(false, outcome.verdict, outcome.reason);
    verdict_ = combine(verdict_, outcome.verdict);
    outcome.verdict = verdict_;
    excluded_.push_back(tried);
    if (outcome.reason == refusal::backend_lost) {
        const crash_standing standing = context_.crashes.standing(request_.fingerprint);
        is_suspected_ = standing == crash_standing::suspected;
    }
    retry_or_fail(outcome);
}

bool request_exchange::may_try_again(const attempt_outcome& outcome) {
    if (!may_retry(outcome, request_.is_idempotent, has_caller_bytes_)) {
        return false;
    }
    if (context_.crashes.standing(request_.fingerprint) == crash_standing::refused) {
        return false;
    }
    if (time_left().count() == 0) {
        return false;
    }
    if (is_momentary(outcome.reason)) {
        return true;
    }
    return dispatcher_->spend_retry();
}

void request_exchange::retry_or_fail(const attempt_outcome& outcome) {
    if (!may_try_again(outcome)) {
        fail(outcome);
        return;
    }
    context_.numbers.count(
        "citronseam_retries_total",
        {{"service", request_.service}, {"reason", std::string(name(outcome.reason))}});
    dispatcher_->submit(shared_from_this());
}

void request_exchange::shed(refusal reason, milliseconds retry_after, std::string message) {
    run([this, reason, retry_after, message = std::move(message)] {
        if (!is_done_) {
            fail({verdict_, reason, message, retry_after});
        }
    });
}

void request_exchange::fail(attempt_outcome outcome) {
    if (has_caller_bytes_) {
        responder_->abort();
        finish("aborted");
        return;
    }
    if (outcome.retry_after.count() == 0) {
        outcome.retry_after = dispatcher_->time_to_return();
    }
    send_final_answer(*responder_, request_.request_id, outcome);
    finish(std::string(name(outcome.reason)));
}

void request_exchange::release_attempt(bool is_answered, run_verdict verdict, refusal reason) {
    if (attempt_.number == 0) {
        return;
    }
    trace_attempt& tried = trace_.attempts.back();
    tried.ended_ms = elapsed_ms(arrived_, std::chrono::steady_clock::now());
    tried.verdict = verdict;
    tried.reason = reason;
    attempt_.link->forget_exchange(attempt_.number);
    attempt_.link->load().outstanding.fetch_sub(1, std::memory_order_relaxed);
    attempt_.number = 0;
    dispatcher_->note_finished(is_answered);
}

void request_exchange::cancel_attempt() {
    wire::request_cancelT message;
    message.request = attempt_.number;
    attempt_.link->session()->send(make_frame(message));
    release_attempt(false, run_verdict::may_have_run, refusal::cancelled);
}

void request_exchange::finish(const std::string& result) {
    is_done_ = true;
    deadline_timer_.cancel();
    const auto taken = std::chrono::steady_clock::now() - arrived_;
    context_.numbers.observe("citronseam_request_seconds",
                             {{"service", request_.service},
                              {"workspace", request_.workspace_label},
                              {"class", std::string(name(request_.priority))},
                              {"result", result}},
                             std::chrono::duration<double>(taken).count());
    trace_.taken_ms = elapsed_ms(arrived_, std::chrono::steady_clock::now());
    trace_.result = result;
    if (result != "hung_up") {
        context_.latencies.add(request_.service, trace_.taken_ms, result == "answered");
    }
    context_.traces.add(std::move(trace_));
}

} // namespace citronseam
