#include "citronseam/process/missing_versions.h"

namespace citronseam {

void update_missing_versions(missing_versions& missing, const copy_state& own,
                             std::uint64_t announced, time_point now) {
    std::erase_if(missing, [&own](const auto& entry) {
        return entry.version <= own.version || entry.heard_at < own.read_begun_at;
    });
    const std::uint64_t newest = missing.empty() ? own.version : missing.back().version;
    if (announced > newest) {
        missing.push_back({announced, now});
    }
}

std::optional<time_point> missing_since(const missing_versions& missing) noexcept {
    return missing.empty() ? std::nullopt : std::optional(missing.front().heard_at);
}

} // namespace citronseam
