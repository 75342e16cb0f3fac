// Stand-in for the weight origin: named blobs with range requests, served at a limited rate.
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

/// Parses a `Range` header value of the form `bytes=first-last`; both positions are inclusive.
/// @return whether the value is valid for a blob of `size` bytes
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

class weight_origin {
public:
    explicit weight_origin(std::uint64_t bytes_per_second) : bytes_per_second_(bytes_per_second) {}

    void attach(standin_server& server) {
        server_ = &server;
        server.faults().bytes_per_second = bytes_per_second_;
    }

    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (request.path == "/counts") {
            respond_json(*responder, 200, {{"bytes", bytes_served_}, {"requests", request_count_}});
        } else if (request.method == "PUT") {
            blobs_[request.path] = request.body;
            respond_json(*responder, 201, {{"ok", true}});
        } else {
            serve_blob(request, responder);
        }
    }

private:
    void serve_blob(const server_request& request,
                    const std::shared_ptr<http_responder>& responder) {
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
        std::string range_bytes = blob.substr(range.first, range.last - range.first + 1);
        ++request_count_;
        bytes_served_ += range_bytes.size();
        if (consume_one(server_->faults().corrupt_responses)) {
            range_bytes[range_bytes.size() / 2] =
                static_cast<char>(range_bytes[range_bytes.size() / 2] ^ 1);
        }
        send_paced(range_text.empty() ? 200 : 206, std::move(range_bytes), responder);
    }

    void send_paced(int status, std::string range_bytes,
                    const std::shared_ptr<http_responder>& responder) {
        const auto now = std::chrono::steady_clock::now();
        bucket_.rate = server_->faults().bytes_per_second;
        bucket_.burst = std::max<std::uint64_t>(bucket_.rate / 50, 1);
        consume_tokens(bucket_, range_bytes.size(), now);
        // The response is sent when the token bucket is out of debt, the time at which a link of
        // this rate would have delivered the last byte.
        const microseconds wait = wait_time(bucket_, now);
        auto send = [status, range_bytes = std::move(range_bytes), responder] {
            responder->respond(status, {{"Content-Type", "application/octet-stream"}}, range_bytes);
        };
        if (wait.count() == 0) {
            send();
        } else {
            server_->timers().post_after(wait, std::move(send));
        }
    }

    std::mutex mutex_;
    std::uint64_t bytes_per_second_;
    token_bucket bucket_;
    std::map<std::string, std::string> blobs_;
    std::uint64_t bytes_served_{0};
    std::uint64_t request_count_{0};
    standin_server* server_{nullptr};
};

} // namespace

int run_weights(const std::string& address, std::uint64_t bytes_per_second) {
    weight_origin service(bytes_per_second);
    return serve("weights", address, service);
}

} // namespace citronseam::standin
