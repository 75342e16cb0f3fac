/// @file
/// Builds the traffic_view from the store's rows.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_TRAFFIC_VIEW_BUILDER_H
#define CITRONSEAM_PROGRAMS_GATEWAY_TRAFFIC_VIEW_BUILDER_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "citronseam/process/versioned_row.h"
#include "programs/gateway/traffic_view.h"

namespace citronseam {

/// Holds the state behind the published views. All functions run on the control thread.
class traffic_view_builder {
public:
    /// @param assumed_weights_age assumed age of weight versions of which this process cannot say
    ///                            when they were announced
    explicit traffic_view_builder(milliseconds assumed_weights_age)
        : assumed_weights_age_(assumed_weights_age) {}

    /// Records that this process was out of touch: weights that it learns of until `end` may have
    /// been announced before.
    void set_ages_unknown_until(time_point end) { ages_unknown_until_ = end; }

    /// Applies changed rows of the operator's table.
    void apply_operator_rows(const std::vector<versioned_row>& changed, time_point now);
    /// Applies announced weights that another process told.
    /// @return whether anything changed
    bool apply_told_weights(const std::string& model, const announced_version& told,
                            time_point now);
    /// @return announced versions of each model
    const announced_versions& weights() const noexcept { return view_.weights; }
    /// Applies changed rows of the server list.
    /// @return the rows that affect request decisions; the others only show that a server lives
    std::vector<versioned_row> apply_server_rows(const std::vector<versioned_row>& changed);
    /// Sets the gateways that share the system-wide limits. Their count never falls.
    /// @return whether anything changed
    bool set_gateways(sender_list gateways);
    /// @return the gateways that share the system-wide limits
    const sender_list& gateways() const noexcept { return view_.gateways; }
    /// Records since when the configuration is known to be outdated.
    void set_outdated_since(std::optional<time_point> since) { view_.outdated_since = since; }

    /// @return an immutable copy for the traffic thread
    std::shared_ptr<const traffic_view> build() const;
    /// @return whether the configuration, the server list and the other gateways are known
    bool is_complete() const noexcept { return citronseam::is_complete(view_); }
    /// @return whether the requests that cold servers of a service get are limited
    bool limits_cold_servers() const noexcept { return citronseam::limits_cold_servers(view_); }
    /// @return what the configuration may still decide
    /// @param due time after its acknowledgement within which a configuration must be in force
    configuration_trust trust(milliseconds due, time_point now) const noexcept {
        return trust_in_configuration(view_, due, now);
    }
    /// @return version of the active configuration, 0 for none
    std::uint64_t configuration_version() const noexcept;

private:
    void apply_configuration(routing rules);

    milliseconds assumed_weights_age_;
    time_point ages_unknown_until_{time_point::min()};
    bool has_operator_rows_{false};
    traffic_view view_;
    std::map<std::string, listed_server> servers_; ///< by identifier
};

} // namespace citronseam

#endif
