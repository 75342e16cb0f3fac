#include "citronseam/process/missing_versions.h"

#include <algorithm>

namespace citronseam {

void update_missing_versions(missing_versions& missing, std::uint64_t own, std::uint64_t announced,
                             time_point now) {
    for (auto& entry : missing) {
        entry.version = std::min(entry.version, announced);
    }
    std::erase_if(missing, [own](const auto& entry) { return entry.version <= own; });
    const std::uint64_t newest = missing.empty() ? own : missing.back().version;
    if (announced > newest) {
        missing.push_back({announced, now});
    }
}

std::optional<time_point> missing_since(const missing_versions& missing) noexcept {
    return missing.empty() ? std::nullopt : std::optional(missing.front().heard_at);
}

} // namespace citronseam
