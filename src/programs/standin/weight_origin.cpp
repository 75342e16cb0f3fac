// The origin of weights: named blobs, read by range, over a link of bounded rate.
#include <charconv>
#include <map>

#include "citronseam/connection/http_client.h"
#include "citronseam/version/token_bucket.h"
#include "programs/standin/standin_server.h"

namespace citronseam::standin {
namespace {

struct byte_range {
    std::size_t first{0};
    std::size_t last{0};
};

/// Reads `bytes=first-last`.
bool parse_range(const std::string& text, std::size_t size, byte_range& range) {
    constexpr std::string_view unit = "bytes=";
    if (text.rfind(unit, 0) != 0) {
        return false;
    }
    const char* end = text.data() + text.size();
    const auto first = std::from_chars(text.data() + unit.size(), end, range.first);
    if (first.ec != std::errc{} || first.ptr == end || *first.ptr != '-') {
        return false;
    }
    const auto last = std::from_chars(first.ptr + 1, end, range.last);
    return last.ec == std::errc{} && range.first <= range.last && range.last < size;
}

class origin {
public:
    explicit origin(std::uint64_t rate) : rate_(rate) {}

    void use(standin_server& server) {
        server_ = &server;
        server.faults().rate = rate_;
    }

    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (request.path == "/counts") {
            respond_json(*responder, 200, {{"bytes", bytes_}, {"requests", requests_}});
        } else if (request.method == "PUT") {
            blobs_[request.path] = request.body;
            respond_json(*responder, 201, {{"ok", true}});
        } else {
            serve(request, responder);
        }
    }

private:
    void serve(const server_request& request, const std::shared_ptr<http_responder>& responder) {
        const auto found = blobs_.find(request.path);
        if (found == blobs_.end()) {
            respond_json(*responder, 404, {{"error", "no such weights"}});
            return;
        }
        const std::string& blob = found->second;
        const std::string range_text = find_header(request.headers, "Range");
        byte_range range{0, blob.empty() ? 0 : blob.size() - 1};
        if (!range_text.empty() && !parse_range(range_text, blob.size(), range)) {
            respond_json(*responder, 416, {{"error", "the range cannot be served"}});
            return;
        }
        std::string part = blob.substr(range.first, range.last - range.first + 1);
        ++requests_;
        bytes_ += part.size();
        if (use_one(server_->faults().corrupt_answers)) {
            part[part.size() / 2] = static_cast<char>(part[part.size() / 2] ^ 1);
        }
        send_paced(range_text.empty() ? 200 : 206, std::move(part), responder);
    }

    void send_paced(int status, std::string part,
                    const std::shared_ptr<http_responder>& responder) {
        const auto now = std::chrono::steady_clock::now();
        bucket_.rate = server_->faults().rate;
        bucket_.burst = std::max<std::uint64_t>(bucket_.rate / 50, 1);
        take(bucket_, part.size(), now);
        // The whole part has crossed the link only when the debt it made is paid.
        const microseconds wait = wait_time(bucket_, now);
        auto send = [status, part = std::move(part), responder] {
            responder->respond(status, {{"Content-Type", "application/octet-stream"}}, part);
        };
        if (wait.count() == 0) {
            send();
        } else {
            server_->timers().post_after(wait, std::move(send));
        }
    }

    std::mutex mutex_;
    std::uint64_t rate_;
    token_bucket bucket_;
    std::map<std::string, std::string> blobs_;
    std::uint64_t bytes_{0};
    std::uint64_t requests_{0};
    standin_server* server_{nullptr};
};

} // namespace

int run_weights(const std::string& address, std::uint64_t rate) {
    origin content(rate);
    return serve("weights", address, content);
}

} // namespace citronseam::standin
