/// @file
/// Limits the frames of a response that wait to be sent.
#ifndef CITRONSEAM_CONNECTION_FRAME_METER_H
#define CITRONSEAM_CONNECTION_FRAME_METER_H

#include <memory>
#include <mutex>

#include "citronseam/connection/wire_message.h"
#include "citronseam/request/buffer_budget.h"

namespace citronseam {

/// Counts the parts of one response from when they are queued until the queue has dropped them,
/// such as the frames that a session has yet to send. Sessions carry the responses of many
/// requests, so a response that its receiver takes too slowly must end before the session's queue
/// is full. May be used from any thread.
class frame_meter : public std::enable_shared_from_this<frame_meter> {
public:
    /// @param budget of all responses
    explicit frame_meter(std::shared_ptr<buffer_budget> budget) : budget_(std::move(budget)) {}

    /// Counts a frame.
    /// @return the frame, to be queued in place of the argument; nullptr if too many bytes wait
    shared_frame add(const shared_frame& frame);

private:
    bool change(std::size_t size, bool is_added);

    std::mutex mutex_;
    const std::shared_ptr<buffer_budget> budget_;
    buffer_share share_;
    std::size_t unsent_bytes_{0};
};

} // namespace citronseam

#endif
