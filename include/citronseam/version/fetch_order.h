/// @file
/// Decides which of two announced versions is fetched first.
#ifndef CITRONSEAM_VERSION_FETCH_ORDER_H
#define CITRONSEAM_VERSION_FETCH_ORDER_H

#include "citronseam/process/clock.h"

namespace citronseam {

/// Parameters of should_finish_before_newer().
struct fetch_order_params {
    time_point now;
    time_point announced_at;         ///< when the current version was announced
    milliseconds switch_deadline{0}; ///< from announced_at until the version must be served
    bool is_fetching{false};         ///< whether chunks of the current version are being fetched
    milliseconds remaining_time{0};  ///< estimated time until the current version is complete
};

/// Whether to finish the current version before a newer one starts. A version that is nearly
/// complete is due earlier, its chunks are in transit, and the origin may fail during the next
/// fetch.
bool should_finish_before_newer(const fetch_order_params& params) noexcept;

} // namespace citronseam

#endif
