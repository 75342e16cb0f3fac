#include "programs/standin/standin_server.h"

#include <csignal>
#include <iostream>

#include <pthread.h>

#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"

namespace citronseam::standin {
namespace {

/// Prefix of a printed record line.
constexpr std::string_view record_line_prefix = "record ";

} // namespace

bool consume_one(std::atomic<int>& counter) {
    int left = counter.load();
    while (left > 0) {
        if (counter.compare_exchange_weak(left, left - 1)) {
            return true;
        }
    }
    return false;
}

void respond_json(http_responder& responder, int status, const nlohmann::json& body,
                  std::vector<http_header> headers) {
    headers.push_back({"Content-Type", "application/json"});
    responder.respond(status, headers,
                      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

standin_server::standin_server(std::string name, const std::string& address, handler handle)
    : name_(std::move(name)), handle_(std::move(handle)) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const auto parsed = parse_host_port(address);
    if (!parsed) {
        throw std::invalid_argument(parsed.error().message);
    }
    constexpr std::size_t max_body_size = 256 * mebibyte;
    server_options options;
    options.address = *parsed;
    options.max_body_size = max_body_size;
    server_ = std::make_unique<http_server>(
        options, [this](const server_request& request, std::shared_ptr<http_responder> responder) {
            handle_common(request, std::move(responder));
        });
    log_event(log_level::info, "listening",
              {{"standin", name_}, {"http", parsed->host + ":" + std::to_string(server_->port())}});
}

int standin_server::run() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
    server_.reset();
    timers_.stop();
    return 0;
}

void standin_server::record_event(nlohmann::json entry) {
    const std::lock_guard<std::mutex> lock(record_mutex_);
    entry["at_ms"] = wall_clock_ms();
    if (is_record_printed_) {
        std::cout << record_line_prefix << entry.dump() << std::endl;
    }
    recorded_events_.push_back(std::move(entry));
}

void standin_server::set_faults(const server_request& request, http_responder& responder) {
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
        respond_json(responder, 400, {{"error", "expected a JSON object of fault switches"}});
        return;
    }
    faults_.is_down = json.value("down", faults_.is_down.load());
    faults_.is_hanging = json.value("hang", faults_.is_hanging.load());
    faults_.delay_ms = json.value("delay_ms", faults_.delay_ms.load());
    faults_.lost_responses = json.value("lose_answers", faults_.lost_responses.load());
    faults_.corrupt_responses = json.value("corrupt", faults_.corrupt_responses.load());
    faults_.failing_loads = json.value("fail_loads", faults_.failing_loads.load());
    faults_.truncated_responses = json.value("cut_streams", faults_.truncated_responses.load());
    faults_.is_cold_reset_requested = json.value("cold", faults_.is_cold_reset_requested.load());
    faults_.bytes_per_second = json.value("rate", faults_.bytes_per_second.load());
    respond_json(responder, 200, {{"ok", true}});
}

void standin_server::handle_common(const server_request& request,
                                   std::shared_ptr<http_responder> responder) {
    if (request.path == "/faults" && request.method == "POST") {
        set_faults(request, *responder);
        return;
    }
    if (request.path == "/record" && request.method == "GET") {
        const std::lock_guard<std::mutex> lock(record_mutex_);
        respond_json(*responder, 200, {{"record", recorded_events_}});
        return;
    }
    if (faults_.is_hanging) {
        // Keeps the responder alive for an hour, so that the caller gets no response.
        timers_.post_after(std::chrono::hours(1), [responder] {});
        return;
    }
    if (faults_.is_down) {
        respond_json(*responder, 503, {{"error", "down"}});
        return;
    }
    const int delay = faults_.delay_ms;
    if (delay > 0) {
        timers_.post_after(milliseconds(delay),
                           [this, request, responder] { handle_(request, responder); });
        return;
    }
    handle_(request, std::move(responder));
}

} // namespace citronseam::standin
