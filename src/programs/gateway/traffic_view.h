/// @file
/// The state that the control thread publishes to the traffic thread.
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
#include "citronseam/request/shared_quota.h"

namespace citronseam {

/// A weight version that the operator announced for a model.
struct announced_version {
    std::uint64_t version{0};
    time_point learned_at; ///< when this process first saw the announcement
};

/// State that request decisions are based on. Immutable once published.
struct traffic_view {
    std::shared_ptr<const route_table> routes; ///< nullptr until a configuration is known
    std::set<std::string, std::less<>> evacuated_zones;
    /// Announced versions of each model, the newest last.
    std::map<std::string, std::vector<announced_version>> weights;
    std::vector<listed_server> servers;
    bool has_servers{false}; ///< the server list was read
    sender_list gateways;    ///< that share the system-wide limits; empty until they are known
    std::optional<time_point> shutdown_at; ///< set once the process is shutting down
};

/// @return whether requests can be decided on: the configuration, the server list and the gateways
/// that share the limits are known
bool is_complete(const traffic_view& view) noexcept;

/// @param due time after an announcement within which every engine must serve the new weights
/// @return the oldest version of a model that an engine may start a request on at `now`
std::uint64_t min_weights_version_to_begin(const traffic_view& view, const std::string& model,
                                           milliseconds due, time_point now);

/// @return the oldest version of a model whose engines a request may be sent to at `now`. It is
/// stricter than min_weights_version_to_begin(), since the engine starts the request some time
/// later.
std::uint64_t min_weights_version_to_send(const traffic_view& view, const std::string& model,
                                          milliseconds due, time_point now);

} // namespace citronseam

#endif
