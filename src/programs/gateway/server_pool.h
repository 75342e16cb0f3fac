/// @file
/// The backend servers as the traffic thread sees them.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_SERVER_POOL_H
#define CITRONSEAM_PROGRAMS_GATEWAY_SERVER_POOL_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "citronseam/process/metrics.h"
#include "citronseam/process/settings.h"
#include "citronseam/request/server_choice.h"
#include "citronseam/request/shared_retry_budget.h"
#include "programs/gateway/traffic_view.h"

namespace citronseam {

/// What a request asks of the pool.
struct server_wish {
    const route* rule{nullptr};
    const routed_workspace* workspace{nullptr};
    std::string service;
    std::vector<std::string> tried; ///< identifiers of servers that had the request
    std::uint64_t prompt_tokens{0};
    std::uint64_t output_tokens{0}; ///< expected, 0: not known
    std::uint64_t exact_weights{0}; ///< a stream goes on with these weights; 0: any
    bool is_optional{false};        ///< the request stays where it is when there is no room
};

/// What the pool answers.
struct server_offer {
    std::shared_ptr<server_state> server; ///< nullptr: none
    choice_obstacle obstacle{choice_obstacle::none};
    double busy{0};      ///< requests that the choice assumed to run there
    double prompt_ms{0}; ///< time that the server takes to read the prompt
    double wait_ms{0};   ///< time that the choice assumed until the answer begins
};

/// Keeps the load of each server and chooses among them. Everything runs on the traffic thread.
class server_pool {
public:
    /// @param options settings; must outlive the pool
    server_pool(const settings& options, metrics& numbers);

    /// Takes new beliefs. Servers that stay keep what is known of their load.
    void take_view(std::shared_ptr<const traffic_view> view);
    /// Takes what the process beside an engine reports.
    /// @param address of the engine
    void take_report(const std::string& address, const engine_report& report, time_point now);

    /// Chooses a server and notes that the request goes there.
    server_offer choose(const server_wish& wish, time_point now);

    /// @return whether a request that waits at a server may still begin there: not on weights that
    /// newer ones have replaced by now
    bool may_begin(const server_state& server, const std::string& service, time_point now) const;

    /// @return time that a request which was sent a while ago is expected to go on
    /// @param output_tokens expected, 0: not known
    milliseconds expected_rest(const route& rule, const std::string& service,
                               std::uint64_t output_tokens, milliseconds passed) const;

    /// @return time that a request of a route takes at most, or nearly so
    /// @param output_tokens that a stream may have, 0: not known
    milliseconds longest_duration(const route& rule, const std::string& service,
                                  std::uint64_t output_tokens) const;

    /// Notes a caller's request for a service.
    void note_request(const std::string& service, time_point now);
    /// Takes leave to send a request to one more server.
    bool take_repeat(const std::string& service, time_point now);

    /// @return the beliefs, nullptr until the first came
    const std::shared_ptr<const traffic_view>& view() const noexcept { return view_; }
    /// @return generator of the traffic thread
    random_source& random() noexcept { return random_; }
    /// @return when a caller that is refused for lack of room should come back: soon while few are
    /// refused, and spread over a longer time while many are
    /// @param shortest used while none was refused lately
    milliseconds return_after_refusal(const std::string& service, milliseconds shortest);

private:
    struct service_pool_entry {
        std::vector<std::shared_ptr<server_state>> servers;
        shared_retry_budget repeats;
        double refused_share{0}; ///< of the latest choices
    };

    void add_servers(const traffic_view& view);
    std::string_view region_of(std::string_view zone) const;
    choice_terms make_terms(const server_wish& wish, const routed_service& service,
                            time_point now) const;
    std::uint32_t waiting_allowance(const routed_service& service, const route& rule,
                                    int rank) const;

    const settings& options_;
    metrics& numbers_;
    retry_bound bound_;
    random_source random_;
    std::shared_ptr<const traffic_view> view_;
    std::map<std::string, std::shared_ptr<server_state>, std::less<>> by_id_;
    std::map<std::string, service_pool_entry, std::less<>> services_;
};

} // namespace citronseam

#endif
