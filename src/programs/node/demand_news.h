/// @file
/// The demand that gateways report to each other in heartbeats.
#ifndef CITRONSEAM_PROGRAMS_NODE_DEMAND_NEWS_H
#define CITRONSEAM_PROGRAMS_NODE_DEMAND_NEWS_H

#include <vector>

#include "citronseam/connection/wire_message.h"
#include "citronseam/request/service_demand.h"

namespace citronseam {

/// Adds demand to a heartbeat.
void add_demand(wire::member_beatT& heartbeat, const std::vector<reported_demand>& ranks);

/// @return the demand in a heartbeat; a rate that is not a number of requests counts as none
std::vector<reported_demand> read_demand(const wire::member_beat& heartbeat);

} // namespace citronseam

#endif
