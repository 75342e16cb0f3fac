#include "citronseam/version/load_schedule.h"

#include <algorithm>

#include "citronseam/process/random.h"

namespace citronseam {

time_point load_moment(const load_turn_terms& terms) noexcept {
    const time_point latest = terms.named_at + terms.due;
    if (latest <= terms.whole_at || terms.count <= 1) {
        return terms.whole_at;
    }
    const auto slack = latest - terms.whole_at;
    const auto turn = static_cast<std::int64_t>(std::min(terms.index, terms.count - 1));
    return terms.whole_at + slack * turn / static_cast<std::int64_t>(terms.count - 1);
}

std::size_t turn_of(std::string_view version, std::string_view self,
                    const std::vector<std::string>& instances) {
    const std::uint64_t own = rendezvous_weight(version, self);
    return static_cast<std::size_t>(
        std::count_if(instances.begin(), instances.end(), [&](const std::string& other) {
            return other != self && rendezvous_weight(version, other) > own;
        }));
}

} // namespace citronseam
