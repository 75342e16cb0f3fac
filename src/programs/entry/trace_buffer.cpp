#include "programs/entry/trace_buffer.h"

namespace citronseam {
namespace {

constexpr std::size_t max_traces = 4096;

} // namespace

void trace_buffer::add(request_trace trace) {
    const std::lock_guard<std::mutex> lock(mutex_);
    traces_.push_front(std::move(trace));
    if (traces_.size() > max_traces) {
        traces_.pop_back();
    }
}

std::vector<request_trace> trace_buffer::find(const std::string& request_id) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<request_trace> found;
    for (const auto& trace : traces_) {
        if (trace.request_id == request_id) {
            found.push_back(trace);
        }
    }
    return found;
}

} // namespace citronseam
