#include "programs/daemon/instance_list_poller.h"

#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

constexpr std::size_t largest_list = 16 * mebibyte;

} // namespace

instance_watch::instance_watch(io_threads& control, http_client& http, std::string url,
                               milliseconds interval)
    : control_(control), http_(http), url_(std::move(url)), interval_(interval) {}

void instance_watch::start(list_handler handle) {
    handle_ = std::move(handle);
    control_.post([this] { read(); });
}

void instance_watch::read() {
    http_request request;
    request.url = url_;
    if (!tag_.empty()) {
        request.headers.push_back({"If-None-Match", tag_});
    }
    http_.fetch(std::move(request), largest_list, [this](http_answer answer) {
        control_.post([this, answer = std::move(answer)] {
            take(answer);
            control_.post_after(interval_, [this] { read(); });
        });
    });
}

void instance_watch::take(const http_answer& answer) {
    if (!answer.outcome.is_complete || answer.outcome.status != 200) {
        return;
    }
    if (const auto list = parse_instance_list(answer.body)) {
        tag_ = find_header(answer.headers, "ETag");
        handle_(*list);
    }
}

} // namespace citronseam
