#include "citronseam/connection/frame_meter.h"

namespace citronseam {

shared_frame frame_meter::add(const shared_frame& frame) {
    const std::size_t size = frame->size();
    if (!change(size, true)) {
        return nullptr;
    }
    return {frame.get(),
            [self = shared_from_this(), kept = shared_frame(frame), size](const auto*) mutable {
                kept.reset();
                self->change(size, false);
            }};
}

bool frame_meter::change(std::size_t size, bool is_added) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::size_t unsent = is_added ? unsent_bytes_ + size : unsent_bytes_ - size;
    if (!share_.resize(budget_, unsent)) {
        return false;
    }
    unsent_bytes_ = unsent;
    return true;
}

} // namespace citronseam
