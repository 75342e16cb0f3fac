/// @file
/// Announced weights in the heartbeats of gateways.
#ifndef CITRONSEAM_PROGRAMS_NODE_WEIGHTS_NEWS_H
#define CITRONSEAM_PROGRAMS_NODE_WEIGHTS_NEWS_H

#include <functional>
#include <string>

#include "citronseam/connection/wire_message.h"
#include "citronseam/version/announced_versions.h"

namespace citronseam {

/// Adds what others need to know of the announced weights.
/// @param due time after an announcement within which the weights must be served
void add_announced_weights(wire::member_beatT& heartbeat, const announced_versions& known,
                           milliseconds due, time_point now);

/// Reads the announced weights of a heartbeat.
/// @param now    when the heartbeat was received
/// @param handle called with each model and version; its time is the one of the own clock
void for_each_announced_weights(
    const wire::member_beat& heartbeat, time_point now,
    const std::function<void(const std::string& model, const announced_version& told)>& handle);

} // namespace citronseam

#endif
