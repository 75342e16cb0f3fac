/// @file
/// Intervals of periodic messages to processes of other zones and regions. They grow with the
/// number of receivers, so that what one process sends stays bounded in a large fleet.
#ifndef CITRONSEAM_PROCESS_MESSAGE_RATES_H
#define CITRONSEAM_PROCESS_MESSAGE_RATES_H

#include <cstddef>

#include "citronseam/process/clock.h"

namespace citronseam {

/// @param connections number of processes that this one is connected to
/// @return interval of the heartbeats to each process of another zone
milliseconds remote_heartbeat_interval(std::size_t connections) noexcept;

/// @param receivers number of gateways in other regions
/// @return interval of the reports on an engine to each of them
milliseconds remote_report_interval(std::size_t receivers) noexcept;

/// @param interval of the reports
/// @return time after which a report counts as outdated: the next one was lost or is late
milliseconds report_lifetime(milliseconds interval) noexcept;

} // namespace citronseam

#endif
