#include "programs/gateway/traffic_view.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Upper bound, for nearly all requests, on the time from sending until the engine starts: a full
/// engine may take twice the usual latency objective.
constexpr milliseconds start_delay_margin{900};
/// Covers the delay until a version's announcement arrives and until a cancelled request ends at
/// its engine.
constexpr milliseconds propagation_margin{300};

std::uint64_t min_due_version(const traffic_view& view, const std::string& model, milliseconds due,
                              time_point now) {
    const auto found = view.weights.find(model);
    if (found == view.weights.end()) {
        return 0;
    }
    std::uint64_t min_version = 0;
    for (const auto& announced : found->second) {
        if (now - announced.learned_at >= due) {
            min_version = std::max(min_version, announced.version);
        }
    }
    return min_version;
}

} // namespace

bool is_complete(const traffic_view& view) noexcept {
    return view.routes != nullptr && view.has_servers && view.gateways.count > 0;
}

std::uint64_t min_weights_version_to_begin(const traffic_view& view, const std::string& model,
                                           milliseconds due, time_point now) {
    return min_due_version(view, model, due - propagation_margin, now);
}

std::uint64_t min_weights_version_to_send(const traffic_view& view, const std::string& model,
                                          milliseconds due, time_point now) {
    return min_due_version(view, model, due - start_delay_margin, now);
}

} // namespace citronseam
