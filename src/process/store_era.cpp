#include "citronseam/process/store_era.h"

#include <algorithm>

namespace citronseam {

bool learn_era(store_era& newest, std::uint64_t era, time_point since) noexcept {
    if (era > newest.number) {
        newest = {era, since};
        return true;
    }
    if (era == newest.number) {
        newest.known_since = std::min(newest.known_since, since);
    }
    return false;
}

milliseconds remaining_rewrite_time(const store_era& newest, time_point now) noexcept {
    const auto known_for = std::chrono::duration_cast<milliseconds>(now - newest.known_since);
    return std::max(rewrite_time - known_for, milliseconds(0));
}

} // namespace citronseam
