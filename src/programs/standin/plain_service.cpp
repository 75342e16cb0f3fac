// Stand-in for a plain service. It records every execution, so that tests can find a non-idempotent
// request that ran twice.
#include <map>

#include "citronseam/connection/http_client.h"
#include "programs/standin/standin_server.h"

namespace citronseam::standin {
namespace {

class plain_service {
public:
    explicit plain_service(const plain_options& options) : options_(options) {}

    void attach(standin_server& server) { server_ = &server; }

    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder) {
        if (request.path == "/admin/status") {
            respond_json(*responder, 200, {{"warm", true}, {"version", ""}, {"boot", "plain"}});
            return;
        }
        record_run(request);
        if (consume_one(server_->faults().truncated_responses)) {
            responder->begin(200, {{"Content-Type", "application/json"}});
            responder->write("{\"cut\":");
            responder->abort();
            return;
        }
        const auto response = build_response(request);
        server_->timers().post_after(milliseconds(options_.work_ms), [response, responder] {
            respond_json(*responder, 200, response);
        });
    }

private:
    /// Records the execution of a request. Called before any response is sent.
    void record_run(const server_request& request) {
        server_->record_event({{"event", "run"},
                               {"method", request.method},
                               {"path", request.path},
                               {"key", find_header(request.headers, "Idempotency-Key")},
                               {"request", find_header(request.headers, "X-Request-Id")},
                               {"body", request.body}});
        const std::lock_guard<std::mutex> lock(mutex_);
        ++run_count_;
    }

    nlohmann::json build_response(const server_request& request) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return {{"method", request.method},
                {"path", request.path},
                {"run", run_count_},
                {"echo", request.body}};
    }

    plain_options options_;
    std::mutex mutex_;
    int run_count_{0};
    standin_server* server_{nullptr};
};

} // namespace

int run_plain(const plain_options& options) {
    plain_service service(options);
    return serve("plain", options.address, service, options.prints_record);
}

} // namespace citronseam::standin
