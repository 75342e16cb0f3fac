#include "programs/gateway/traffic_view.h"

#include <algorithm>

namespace citronseam {
namespace {

/// A request may wait at its engine before it begins, and news of the version took a while to come.
constexpr milliseconds due_margin{600};

} // namespace

std::uint64_t least_weights_version(const traffic_view& view, const std::string& model,
                                    milliseconds due, time_point now) {
    const auto found = view.weights.find(model);
    if (found == view.weights.end()) {
        return 0;
    }
    std::uint64_t least = 0;
    for (const auto& named : found->second) {
        if (now - named.heard_at >= due - due_margin) {
            least = std::max(least, named.version);
        }
    }
    return least;
}

} // namespace citronseam
