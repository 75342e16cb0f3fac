#include "programs/gateway/traffic_view.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Time from sending a request until it begins, for nearly all: an engine that was full may take
/// twice the usual latency objective.
constexpr milliseconds sending_margin{900};
/// News of a version takes a while to come, and so does the end of a request at its engine.
constexpr milliseconds beginning_margin{300};

std::uint64_t least_due_version(const traffic_view& view, const std::string& model,
                                milliseconds due, time_point now) {
    const auto found = view.weights.find(model);
    if (found == view.weights.end()) {
        return 0;
    }
    std::uint64_t least = 0;
    for (const auto& named : found->second) {
        if (now - named.heard_at >= due) {
            least = std::max(least, named.version);
        }
    }
    return least;
}

} // namespace

std::uint64_t least_weights_to_begin(const traffic_view& view, const std::string& model,
                                     milliseconds due, time_point now) {
    return least_due_version(view, model, due - beginning_margin, now);
}

std::uint64_t least_weights_to_send(const traffic_view& view, const std::string& model,
                                    milliseconds due, time_point now) {
    return least_due_version(view, model, due - sending_margin, now);
}

} // namespace citronseam
