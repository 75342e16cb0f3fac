#include "soak/timeline.h"

#include <algorithm>

namespace citronseam::soak {
namespace {

/// A plain server answers at once and a stream takes some 120 ms; both are far from their timeouts.
constexpr milliseconds plain_loss_time{350};
constexpr milliseconds stream_loss_time{2800};

std::int64_t elapsed_ms(time_point from, time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

} // namespace

void timeline::begin_fault(fault_target target, bool is_planned, time_point at) {
    const std::lock_guard<std::mutex> lock(mutex_);
    disturbances_[target].push_back({at, std::nullopt, is_planned});
}

void timeline::end_fault(fault_target target, time_point at) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto& known : disturbances_[target]) {
        if (!known.end) {
            known.end = at;
        }
    }
}

void timeline::propose(configuration_state state, time_point at) {
    const std::lock_guard<std::mutex> lock(mutex_);
    configurations_.push_back({state, at, std::nullopt});
}

void timeline::acknowledge(time_point at) {
    const std::lock_guard<std::mutex> lock(mutex_);
    configurations_.back().acknowledged_at = at;
}

void timeline::close_server(const std::string& server, const std::string& reason,
                            milliseconds bound, time_point at) {
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_[{server, reason}] = {at, bound};
}

void timeline::open_server(const std::string& server, const std::string& reason) {
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_.erase({server, reason});
}

void timeline::send(const std::string& request, std::size_t gateway) {
    const std::lock_guard<std::mutex> lock(mutex_);
    gateways_[request] = gateway;
}

bool timeline::is_disturbed(fault_target target, time_point from, time_point to,
                            bool with_planned) const {
    const auto found = disturbances_.find(target);
    return found != disturbances_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const auto& known) {
               return (with_planned || !known.is_planned) && known.begin <= to &&
                      (!known.end || *known.end + contact_time >= from);
           });
}

bool timeline::is_gateway_disturbed(std::size_t gateway, time_point from, time_point to,
                                    bool with_planned) const {
    return is_disturbed({target_kind::gateway, gateway}, from, to, with_planned) ||
           is_disturbed({target_kind::store, gateway}, from, to, with_planned);
}

std::optional<breach> timeline::check_arrival(const std::string& server, fault_target link,
                                              const std::string& request, time_point at) {
    const std::lock_guard<std::mutex> lock(mutex_);
    arrived_.insert(request);
    const auto gateway = gateways_.find(request);
    if (gateway == gateways_.end() || is_disturbed(link, at, at, true) ||
        is_gateway_disturbed(gateway->second, at, at, true)) {
        return std::nullopt;
    }
    for (const auto& [key, closed] : closed_) {
        if (key.first == server && at > closed.at + closed.bound) {
            return breach{promise::drain, request,
                          "gateway-" + std::to_string(gateway->second) + " sent it to " + server +
                              " " + std::to_string(elapsed_ms(closed.at, at)) +
                              " ms after the acknowledgement, " + key.second};
        }
    }
    return std::nullopt;
}

std::optional<breach> timeline::check_exchange(const timed_exchange& exchange,
                                               const std::vector<fault_target>& servers) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto lost = check_lost(exchange, servers);
    return lost ? lost : check_configuration(exchange);
}

std::optional<breach> timeline::check_lost(const timed_exchange& exchange,
                                           const std::vector<fault_target>& servers) const {
    const auto from = exchange.sent_at;
    const auto to = exchange.ended_at;
    const bool is_in_time =
        to - from <= (exchange.request.is_stream() ? stream_loss_time : plain_loss_time);
    if (exchange.answer.end != answer_end::broken || !is_in_time ||
        arrived_.count(exchange.request.id) == 0 ||
        is_gateway_disturbed(exchange.gateway, from, to, false) ||
        std::any_of(servers.begin(), servers.end(),
                    [&](const auto& server) { return is_disturbed(server, from, to, false); })) {
        return std::nullopt;
    }
    const bool is_leaving = is_disturbed({target_kind::gateway, exchange.gateway}, from, to, true);
    return breach{promise::lost, exchange.request.id,
                  "gateway-" + std::to_string(exchange.gateway) + " broke off after " +
                      std::to_string(elapsed_ms(from, to)) + " ms" +
                      (is_leaving ? ", around its SIGTERM" : "") + ", status " +
                      std::to_string(exchange.answer.status) + ", body <" + exchange.answer.body +
                      ">"};
}

/// The configurations that may be in force are the newest one of those that are due when the
/// request is sent, and all that were written since.
std::optional<breach> timeline::check_configuration(const timed_exchange& exchange) const {
    const auto needed = needed_configuration(exchange.request, exchange.answer);
    if (!needed) {
        return std::nullopt;
    }
    const auto gateway = "gateway-" + std::to_string(exchange.gateway);
    const auto detail = gateway + " answered " + std::to_string(exchange.answer.status);
    if (*needed == needed_state::none) {
        return breach{promise::configuration, exchange.request.id,
                      detail + " though each configuration allows it"};
    }
    bool is_allowed = configurations_.empty();
    time_point due_at{};
    for (auto known = configurations_.rbegin(); known != configurations_.rend() && !is_allowed;
         ++known) {
        const auto& state = known->state;
        is_allowed = known->proposed_at <= exchange.ended_at &&
                     ((*needed == needed_state::route && state.has_later_route) ||
                      (*needed == needed_state::no_route && !state.has_later_route) ||
                      (*needed == needed_state::key && state.has_guest_key) ||
                      (*needed == needed_state::no_key && !state.has_guest_key));
        if (known->acknowledged_at &&
            *known->acknowledged_at + configuration_bound < exchange.sent_at) {
            due_at = *known->acknowledged_at;
            break;
        }
    }
    if (is_allowed ||
        is_gateway_disturbed(exchange.gateway, exchange.sent_at, exchange.ended_at, true)) {
        return std::nullopt;
    }
    return breach{promise::configuration, exchange.request.id,
                  detail + ", sent " + std::to_string(elapsed_ms(due_at, exchange.sent_at)) +
                      " ms after the acknowledgement of a configuration that does not allow it"};
}

} // namespace citronseam::soak
