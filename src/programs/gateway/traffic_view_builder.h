/// @file
/// Turns the store's rows into the beliefs that requests are decided on.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_TRAFFIC_VIEW_BUILDER_H
#define CITRONSEAM_PROGRAMS_GATEWAY_TRAFFIC_VIEW_BUILDER_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "citronseam/process/versioned_row.h"
#include "programs/gateway/traffic_view.h"

namespace citronseam {

/// Beliefs under construction. Everything runs on the control thread.
class belief_keeper {
public:
    /// @param first_weights_age age that is assumed of weights that were named before the process
    ///                          first read the operator's table
    explicit belief_keeper(milliseconds first_weights_age)
        : first_weights_age_(first_weights_age) {}

    /// Takes rows of the operator's table.
    void take_operator_rows(const std::vector<versioned_row>& changed, time_point now);
    /// Takes rows of the list of servers.
    /// @return whether anything changed that requests are decided on
    bool take_server_rows(const std::vector<versioned_row>& changed);
    /// Takes the number of processes that share bounds.
    /// @return whether it changed
    bool set_gateways(std::size_t count);
    /// Notes that the process is on its way out.
    void set_leaving(time_point leaves_at) { view_.leaves_at = leaves_at; }

    /// @return a copy for the traffic thread
    std::shared_ptr<const traffic_view> publish() const;
    /// @return whether requests can be decided on
    bool is_complete() const noexcept { return view_.routes != nullptr && view_.has_servers; }
    /// @return version of the configuration in force, 0 for none
    std::uint64_t configuration_version() const noexcept;

private:
    void take_rules(routing rules);
    void take_weights(const std::string& model, std::uint64_t version, time_point now);

    milliseconds first_weights_age_;
    bool has_operator_rows_{false};
    traffic_view view_;
    std::map<std::string, listed_server> servers_; ///< by identifier
};

} // namespace citronseam

#endif
