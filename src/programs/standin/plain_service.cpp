// A plain service: bookings that must not be made twice, and look-ups that may be repeated.
#include <map>

#include "citronseam/connection/http_client.h"
#include "programs/standin/standin_server.h"

namespace citronseam::standin {
namespace {

class plain_service {
public:
    explicit plain_service(const plain_options& options) : options_(options) {}

    void use(standin_server& server) { server_ = &server; }

    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder) {
        if (request.path == "/admin/status") {
            respond_json(*responder, 200, {{"warm", true}, {"version", ""}, {"boot", "plain"}});
            return;
        }
        run(request);
        if (use_one(server_->faults().cut_streams)) {
            responder->begin(200, {{"Content-Type", "application/json"}});
            responder->write("{\"cut\":");
            responder->abort();
            return;
        }
        const auto answer = answer_for(request);
        server_->timers().post_after(milliseconds(options_.work_ms), [answer, responder] {
            respond_json(*responder, 200, answer);
        });
    }

private:
    /// The work itself, written to the record before any answer.
    void run(const server_request& request) {
        server_->record({{"event", "run"},
                         {"method", request.method},
                         {"path", request.path},
                         {"key", find_header(request.headers, "Idempotency-Key")},
                         {"request", find_header(request.headers, "X-Request-Id")},
                         {"body", request.body}});
        const std::lock_guard<std::mutex> lock(mutex_);
        ++runs_;
    }

    nlohmann::json answer_for(const server_request& request) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return {{"method", request.method},
                {"path", request.path},
                {"run", runs_},
                {"echo", request.body}};
    }

    plain_options options_;
    std::mutex mutex_;
    int runs_{0};
    standin_server* server_{nullptr};
};

} // namespace

int run_plain(const plain_options& options) {
    plain_service content(options);
    return serve("plain", options.address, content, options.prints_record);
}

} // namespace citronseam::standin
