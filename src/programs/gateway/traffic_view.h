/// @file
/// What the control thread tells the traffic thread.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_TRAFFIC_VIEW_H
#define CITRONSEAM_PROGRAMS_GATEWAY_TRAFFIC_VIEW_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/listed_server.h"
#include "citronseam/request/route_table.h"

namespace citronseam {

/// Weights that the operator named for a model.
struct weights_requirement {
    std::uint64_t version{0};
    time_point heard_at; ///< when this process heard of them
};

/// Beliefs of the process that requests are decided on. Immutable once published.
struct traffic_view {
    std::shared_ptr<const route_table> routes; ///< nullptr until a configuration is known
    std::set<std::string, std::less<>> evacuated_zones;
    /// By model: the versions that were named, the newest last.
    std::map<std::string, std::vector<weights_requirement>> weights;
    std::vector<listed_server> servers;
    bool has_servers{false};             ///< the list was read
    std::size_t gateways{1};             ///< processes that share the bounds
    std::optional<time_point> leaves_at; ///< end of the process, once it is on its way out
};

/// @param due time within which weights are in force after they were named
/// @return the oldest version of a model that a request may begin on at `now`
std::uint64_t least_weights_to_begin(const traffic_view& view, const std::string& model,
                                     milliseconds due, time_point now);

/// @return the oldest version of a model whose engines a request may be sent to at `now`: it begins
/// a while later
std::uint64_t least_weights_to_send(const traffic_view& view, const std::string& model,
                                    milliseconds due, time_point now);

} // namespace citronseam

#endif
