#include "citronseam/version/load_schedule.h"

#include <algorithm>

#include "citronseam/process/random.h"

namespace citronseam {

time_point scheduled_load_time(const load_schedule_params& params) noexcept {
    const time_point latest = params.announced_at + params.load_window;
    if (latest <= params.complete_at || params.count <= 1) {
        return params.complete_at;
    }
    const auto slack = latest - params.complete_at;
    const auto index = static_cast<std::int64_t>(std::min(params.index, params.count - 1));
    return params.complete_at + slack * index / static_cast<std::int64_t>(params.count - 1);
}

std::size_t load_order_index(std::string_view version, std::string_view self,
                             const std::vector<std::string>& instances) {
    const std::uint64_t own = rendezvous_weight(version, self);
    return static_cast<std::size_t>(
        std::count_if(instances.begin(), instances.end(), [&](const std::string& other) {
            return other != self && rendezvous_weight(version, other) > own;
        }));
}

} // namespace citronseam
