#include "support/platform_server.h"

#include "citronseam/connection/http_client.h"

#include "support/standin_http.h"
#include "support/weight_origin.h"

namespace citronseam::harness {
namespace {

using nlohmann::json;

constexpr milliseconds weight_load_delay{200};
/// From the head of an engine's response until it crashes.
constexpr milliseconds engine_crash_delay{50};
/// From a crash until the server starts again.
constexpr milliseconds restart_delay{300};
/// The same when the connections fall silent: long enough that requests are moved meanwhile.
constexpr milliseconds silent_restart_delay{1500};
/// From the end of the connections until new ones are refused.
constexpr milliseconds close_delay{20};

} // namespace

platform_server::platform_server(std::string id, bool is_engine)
    : name_(id), id_(std::move(id)), is_engine_(is_engine),
      server_(start_server(
          [this](const server_request& request, const std::shared_ptr<http_responder>& responder) {
              handle(request, responder);
          })) {
    for (std::size_t i = 0; is_engine && i < weight_origin::piece_count; ++i) {
        staged_pieces_[i] = weight_origin::piece(1, i);
    }
}

platform_server::~platform_server() {
    timers_.stop();
}

std::string platform_server::address() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return front_ == nullptr ? loopback_address(server_->port()) : front_->address();
}

std::string platform_server::id() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return id_;
}

void platform_server::set_crash_condition(std::function<bool(const server_request&)> condition,
                                          std::function<void(const std::string&)> on_restart) {
    const std::lock_guard<std::mutex> lock(mutex_);
    crash_condition_ = std::move(condition);
    on_restart_ = std::move(on_restart);
    front_ = std::make_unique<relay>(loopback_address(server_->port()));
}

bool platform_server::is_running() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return !is_crashed_;
}

bool platform_server::is_crashing(const server_request& request) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return crash_condition_ && crash_condition_(request);
}

/// An engine crashes shortly after it began to answer, a plain server without an answer.
void platform_server::begin_crash(const std::vector<http_header>& headers,
                                  const std::shared_ptr<http_responder>& responder) {
    if (!is_engine_) {
        crash();
        return;
    }
    responder->begin(200, headers);
    timers_.post_after(engine_crash_delay, [this, responder] { crash(); });
}

void platform_server::crash() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_crashed_) {
        return;
    }
    is_crashed_ = true;
    ++crash_count_;
    if (crashes_silently) {
        front_->blackhole_open_connections();
        front_->set_forwarding_paused(true);
        timers_.post_after(silent_restart_delay, [this] { restart(); });
        return;
    }
    front_->set_disconnected(true);
    timers_.post_after(close_delay, [this] {
        const std::lock_guard<std::mutex> guard(mutex_);
        front_.reset();
    });
    timers_.post_after(restart_delay, [this] { restart(); });
}

void platform_server::restart() {
    std::string previous_id;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        previous_id = std::exchange(id_, name_ + "-" + std::to_string(crash_count_));
        if (front_ != nullptr) {
            silent_fronts_.push_back(std::move(front_));
        }
        front_ = std::make_unique<relay>(loopback_address(server_->port()));
        is_crashed_ = false;
    }
    on_restart_(previous_id);
}

std::uint64_t platform_server::version() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return version_;
}

std::map<std::string, int> platform_server::runs_per_attempt() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_per_attempt_;
}

std::vector<http_header> platform_server::last_headers() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return last_headers_;
}

void platform_server::handle(const server_request& request,
                             const std::shared_ptr<http_responder>& responder) {
    if (handle_engine_call(request, responder)) {
        return;
    }
    const std::string expected = find_header(request.headers, "X-Citronseam-Expect-Instance");
    if (!expected.empty() && expected != id()) {
        responder->respond(421, {{"X-Citronseam-Instance-Id", id()}}, "");
        return;
    }
    ++arrival_count_;
    if (on_arrival_) {
        on_arrival_(find_header(request.headers, "X-Citronseam-Attempt-Id"));
    }
    if (is_overloaded) {
        responder->respond(503, refusal_headers(), "");
    } else if (queue_delay_ms > 0) {
        queue(request, responder);
    } else {
        run(request, responder);
    }
}

int platform_server::wrong_load_count() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return wrong_load_count_;
}

void platform_server::lose_weights() {
    const std::lock_guard<std::mutex> lock(mutex_);
    version_ = 0;
    accepted_order_count_ = 0;
    ++started_at_;
}

void platform_server::lose_power() {
    lose_weights();
    const std::lock_guard<std::mutex> lock(mutex_);
    staged_pieces_.clear();
    spoilt_at_.clear();
}

void platform_server::spoil_pieces(std::size_t end) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (std::size_t i = 0; i < end; ++i) {
        staged_pieces_[i] += "spoilt";
        spoilt_at_[i] = std::chrono::steady_clock::now();
    }
}

bool platform_server::has_staged(std::uint64_t version) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_staged(version);
}

void platform_server::set_piece_read_handler(std::function<void(std::size_t)> handler) {
    const std::lock_guard<std::mutex> lock(mutex_);
    on_piece_read_ = std::move(handler);
}

void platform_server::set_arrival_handler(std::function<void(const std::string&)> handler) {
    on_arrival_ = std::move(handler);
}

void platform_server::set_orders_held(bool is_held) {
    const std::lock_guard<std::mutex> lock(mutex_);
    are_orders_held_ = is_held;
}

std::size_t platform_server::held_order_count() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return held_orders_.size();
}

void platform_server::finish_held_orders(bool is_refused) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& held : std::exchange(held_orders_, {})) {
        if (is_refused) {
            held.responder->respond(409, {}, "");
        } else {
            handle_load_order(held.order, *held.responder);
        }
    }
}

bool platform_server::is_staged(std::uint64_t version) const {
    for (std::size_t i = 0; i < weight_origin::piece_count; ++i) {
        const auto found = staged_pieces_.find(i);
        if (found == staged_pieces_.end() || found->second != weight_origin::piece(version, i)) {
            return false;
        }
    }
    return true;
}

bool platform_server::is_load_wrong(std::uint64_t version) const {
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < weight_origin::piece_count; ++i) {
        const auto found = staged_pieces_.find(i);
        const bool is_right =
            found != staged_pieces_.end() && found->second == weight_origin::piece(version, i);
        const auto spoilt = spoilt_at_.find(i);
        const bool is_excused =
            spoilt != spoilt_at_.end() && now - spoilt->second <= recent_spoilage;
        if (!is_right && !is_excused) {
            return true;
        }
    }
    return false;
}

bool platform_server::handle_engine_call(const server_request& request,
                                         const std::shared_ptr<http_responder>& responder) {
    const auto piece = parse_number(query_parameter(request, "sample_count"));
    const bool is_piece_read = request.path == std::string("/stage-get/") + standin_model;
    if (is_piece_read) {
        std::function<void(std::size_t)> on_piece_read;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            on_piece_read = on_piece_read_;
        }
        if (on_piece_read) {
            on_piece_read(piece);
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (request.path == "/report") {
        const bool is_empty = version_ == 0;
        const json models = {{{"name", standin_model}, {"version", version_}}};
        const json layers = {{{"from", 0}, {"target", 1}, {"version", version_}}};
        send_json(*responder, 200,
                  {{"stage", "colocated"},
                   {"models", is_empty ? json::array() : models},
                   {"layers", is_empty ? json::array() : layers},
                   {"busy", is_executing_order.load()},
                   {"sequence", accepted_order_count_},
                   {"num_waiting", 0},
                   {"num_running", 0},
                   {"born", started_at_}});
    } else if (request.path == "/order") {
        if (are_orders_held_) {
            held_orders_.push_back({json::parse(request.body), responder});
        } else {
            handle_load_order(json::parse(request.body), *responder);
        }
    } else if (request.path == std::string("/stage-put/") + standin_model) {
        staged_pieces_[piece] = request.body;
        spoilt_at_.erase(piece);
        responder->respond(200, {}, "");
    } else if (is_piece_read) {
        const auto found = staged_pieces_.find(piece);
        responder->respond(found == staged_pieces_.end() ? 404 : 200, {},
                           found == staged_pieces_.end() ? "" : found->second);
    } else {
        return false;
    }
    return true;
}

void platform_server::handle_load_order(const json& order, http_responder& responder) {
    const auto version = order.at("version").get<std::uint64_t>();
    const bool is_accepted =
        order.at("expected_revision").get<std::uint64_t>() == accepted_order_count_ &&
        (is_load_unchecked_ || is_staged(version));
    if (!is_accepted) {
        responder.respond(409, {}, "");
        return;
    }
    wrong_load_count_ += is_load_wrong(version) ? 1 : 0;
    ++accepted_order_count_;
    timers_.post_after(weight_load_delay, [this, version] {
        const std::lock_guard<std::mutex> lock(mutex_);
        version_ = version;
    });
    responder.respond(202, {}, "");
}

std::vector<http_header> platform_server::response_headers(const server_request& request) const {
    std::vector<http_header> headers{
        {"X-Citronseam-Attempt-Id", find_header(request.headers, "X-Citronseam-Attempt-Id")},
        {"X-Citronseam-Response-Seal", "seal-of-" + id()},
        {"X-Citronseam-Weight-Versions", std::to_string(version())}};
    if (request_limit > 0) {
        headers.push_back({"Server-Limit", std::to_string(request_limit)});
    }
    if (is_leaving) {
        headers.push_back({"Server-Leaving", "1"});
    }
    return headers;
}

std::vector<http_header> platform_server::refusal_headers() const {
    std::vector<http_header> headers{{"X-Citronseam-Not-Executed", "1"}};
    if (is_leaving) {
        headers.push_back({"Server-Leaving", "1"});
    }
    if (retry_after_s > 0) {
        headers.push_back({"Retry-After", std::to_string(retry_after_s)});
    }
    return headers;
}

void platform_server::queue(const server_request& request,
                            const std::shared_ptr<http_responder>& responder) {
    const auto is_cancelled = std::make_shared<std::atomic<bool>>(false);
    responder->on_disconnect([is_cancelled] { *is_cancelled = true; });
    timers_.post_after(milliseconds(queue_delay_ms), [this, request, responder, is_cancelled] {
        if (!*is_cancelled) {
            run(request, responder);
        }
    });
}

void platform_server::run(const server_request& request,
                          const std::shared_ptr<http_responder>& responder) {
    const auto headers = response_headers(request);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++runs_per_attempt_[find_header(request.headers, "X-Citronseam-Attempt-Id")];
        last_headers_ = request.headers;
    }
    if (failures_to_answer > 0) {
        --failures_to_answer;
        responder->respond(500, headers, "failed at " + id());
    } else if (is_crashing(request)) {
        begin_crash(headers, responder);
    } else if (responses_to_drop > 0) {
        --responses_to_drop;
        responder->abort();
    } else if (!is_engine_) {
        finish_work(request, headers, responder);
    } else {
        const std::string last = find_header(request.headers, "Last-Event-Id");
        const int first = last.empty() ? 1 : static_cast<int>(parse_number(last)) + 1;
        responder->begin(200, headers);
        if (first > events_per_stream) {
            responder->finish();
            return;
        }
        const bool is_truncated = streams_to_truncate > 0;
        streams_to_truncate -= is_truncated ? 1 : 0;
        send_event(first, is_truncated ? first + 2 : events_per_stream, is_truncated,
                   is_target_in_events ? " " + request.target : "", responder);
    }
}

void platform_server::finish_work(const server_request& request,
                                  const std::vector<http_header>& headers,
                                  const std::shared_ptr<http_responder>& responder) {
    const std::string body = "booked " + request.target;
    const auto work_time = query_parameter(request, "work_ms");
    if (work_time.empty()) {
        responder->respond(200, headers, body);
        return;
    }
    timers_.post_after(milliseconds(parse_number(work_time)),
                       [headers, body, responder] { responder->respond(200, headers, body); });
}

void platform_server::send_event(int event_id, int last, bool is_truncated,
                                 const std::string& target,
                                 const std::shared_ptr<http_responder>& responder) {
    responder->write("id: " + std::to_string(event_id) + "\ndata: " + id() + target + "\n\n");
    if (event_id < last) {
        timers_.post_after(milliseconds(event_interval_ms),
                           [this, event_id, last, is_truncated, target, responder] {
                               send_event(event_id + 1, last, is_truncated, target, responder);
                           });
    } else if (is_truncated) {
        responder->write("id: 99\nda");
        responder->abort();
    } else {
        responder->finish();
    }
}

} // namespace citronseam::harness
