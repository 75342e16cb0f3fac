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

bool allows(configuration_state state, needed_state needed) {
    switch (needed) {
    case needed_state::route:
        return state.has_later_route;
    case needed_state::no_route:
        return !state.has_later_route;
    case needed_state::key:
        return state.has_guest_key;
    case needed_state::no_key:
        return !state.has_guest_key;
    case needed_state::none:
        break;
    }
    return false;
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
    configurations_.push_front({state, at, std::nullopt});
}

void timeline::acknowledge(time_point at) {
    const std::lock_guard<std::mutex> lock(mutex_);
    configurations_.front().acknowledged_at = at;
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
           is_disturbed({target_kind::store, gateway}, from, to, with_planned) ||
           is_disturbed({target_kind::peer, gateway}, from, to, with_planned);
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
        if (at <= closed.at + closed.bound) {
            continue;
        }
        ++check_counts_[promise::drain];
        if (key.first == server) {
            return breach{promise::drain, request,
                          "gateway-" + std::to_string(gateway->second) + " sent it to " + server +
                              " " + std::to_string(elapsed_ms(closed.at, at)) +
                              " ms after the acknowledgement, " + key.second};
        }
    }
    return std::nullopt;
}

std::optional<breach> timeline::check_exchange(const timed_exchange& exchange,
                                               const std::vector<fault_target>& servers) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto lost = check_lost(exchange, servers);
    return lost ? lost : check_configuration(exchange);
}

std::string timeline::summary() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string text = "checked at undisturbed machines:";
    for (const auto& [checked, count] : check_counts_) {
        text += " " + std::string(find_name(promise_names, checked)) + "=" + std::to_string(count);
    }
    return text + "\n";
}

std::optional<breach> timeline::check_lost(const timed_exchange& exchange,
                                           const std::vector<fault_target>& servers) {
    const auto from = exchange.sent_at;
    const auto to = exchange.ended_at;
    const bool is_in_time =
        to - from <= (exchange.request.is_stream() ? stream_loss_time : plain_loss_time);
    if (!is_in_time || arrived_.count(exchange.request.id) == 0 ||
        is_gateway_disturbed(exchange.gateway, from, to, false) ||
        std::any_of(servers.begin(), servers.end(),
                    [&](const auto& server) { return is_disturbed(server, from, to, false); })) {
        return std::nullopt;
    }
    const bool is_leaving = is_disturbed({target_kind::gateway, exchange.gateway}, from, to, true);
    check_counts_[promise::lost] += is_leaving ? 1 : 0;
    if (exchange.answer.end != answer_end::broken) {
        return std::nullopt;
    }
    return breach{promise::lost, exchange.request.id,
                  "gateway-" + std::to_string(exchange.gateway) + " broke off after " +
                      std::to_string(elapsed_ms(from, to)) + " ms" +
                      (is_leaving ? ", around its SIGTERM" : "") + ", status " +
                      std::to_string(exchange.answer.status) + ", body <" + exchange.answer.body +
                      ">"};
}

/// The configurations that may be in force are the newest one of those that are due when the
/// request is sent, and all that were written since.
std::optional<breach> timeline::check_configuration(const timed_exchange& exchange) {
    const auto needed = needed_configuration(exchange.request, exchange.answer);
    if (!needed) {
        return std::nullopt;
    }
    const auto detail = "gateway-" + std::to_string(exchange.gateway) + " answered " +
                        std::to_string(exchange.answer.status);
    if (*needed == needed_state::none) {
        return breach{promise::configuration, exchange.request.id,
                      detail + " though each configuration allows it"};
    }
    if (is_gateway_disturbed(exchange.gateway, exchange.sent_at, exchange.ended_at, true)) {
        return std::nullopt;
    }
    ++check_counts_[promise::configuration];
    for (const auto& known : configurations_) {
        if (known.proposed_at <= exchange.ended_at && allows(known.state, *needed)) {
            return std::nullopt;
        }
        if (known.acknowledged_at &&
            *known.acknowledged_at + configuration_bound < exchange.sent_at) {
            return breach{promise::configuration, exchange.request.id,
                          detail + ", sent " +
                              std::to_string(elapsed_ms(*known.acknowledged_at, exchange.sent_at)) +
                              " ms after the acknowledgement of one that does not allow it"};
        }
    }
    return breach{promise::configuration, exchange.request.id,
                  detail + ", and no configuration so far allows it"};
}

} // namespace citronseam::soak
