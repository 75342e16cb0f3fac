#include "programs/daemon/instance_list_poller.h"

#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

constexpr std::size_t max_list_bytes = 16 * mebibyte;

} // namespace

instance_list_poller::instance_list_poller(io_thread_pool& control, http_client& http,
                                           std::string url, milliseconds poll_interval)
    : control_(control), http_(http), url_(std::move(url)), poll_interval_(poll_interval) {}

void instance_list_poller::start(list_handler handle) {
    list_handler_ = std::move(handle);
    control_.post([this] { poll(); });
}

void instance_list_poller::poll() {
    http_request request;
    request.url = url_;
    if (!etag_.empty()) {
        request.headers.push_back({"If-None-Match", etag_});
    }
    http_.fetch(std::move(request), max_list_bytes, [this](http_response response) {
        control_.post([this, response = std::move(response)] {
            handle_response(response);
            control_.post_after(poll_interval_, [this] { poll(); });
        });
    });
}

void instance_list_poller::handle_response(const http_response& response) {
    if (!response.outcome.is_complete || response.outcome.status != 200) {
        return;
    }
    if (const auto list = parse_instance_list(response.body)) {
        etag_ = find_header(response.headers, "ETag");
        list_handler_(*list);
    }
}

} // namespace citronseam
