#include "citronseam/request/service_demand.h"

#include <algorithm>
#include <cmath>

namespace citronseam {
namespace {

/// Time constant of the rates. Bursts last some seconds.
constexpr double decay_s = 1.0;
/// A lower rate is not reported.
constexpr double min_reported_rate = 0.05;

double seconds_between(time_point earlier, time_point later) noexcept {
    return std::max(0.0, std::chrono::duration<double>(later - earlier).count());
}

} // namespace

double rate_at(const decaying_rate& rate, time_point now) noexcept {
    return rate.per_second * std::exp(-seconds_between(rate.updated_at, now) / decay_s);
}

void add_to_rate(decaying_rate& rate, double amount, time_point now) noexcept {
    rate.per_second = rate_at(rate, now) + amount / decay_s;
    rate.updated_at = std::max(rate.updated_at, now);
}

std::vector<reported_demand> make_demand_report(const own_demand& own, bool with_workspaces,
                                                time_point now) {
    std::vector<reported_demand> report;
    for (const auto& [key, demand] : own) {
        reported_demand reported{
            key, rate_at(demand.offered, now), rate_at(demand.sent, now), demand.waiting, {}};
        if (reported.offered < min_reported_rate && reported.waiting == 0) {
            continue;
        }
        for (const auto& [name, rates] : demand.workspaces) {
            const double offered = rate_at(rates.offered, now);
            if (with_workspaces && offered >= min_reported_rate) {
                reported.workspaces.push_back({name, offered, rate_at(rates.sent, now)});
            }
        }
        report.push_back(std::move(reported));
    }
    return report;
}

double demand_of_others(const own_demand& own, const peer_demands& peers, std::string_view service,
                        std::string_view zone, std::size_t process_count, time_point now) {
    double own_rate = 0;
    for (const auto& [key, demand] : own) {
        own_rate += key.service == service ? rate_at(demand.offered, now) : 0;
    }
    double sum = 0;
    std::size_t known = 1;
    for (const auto& [instance, peer] : peers) {
        if (peer.zone != zone || now - peer.received_at > max_demand_age) {
            continue;
        }
        ++known;
        for (const reported_demand& reported : peer.ranks) {
            sum += reported.key.service == service ? reported.offered : 0;
        }
    }
    const std::size_t unknown = process_count > known ? process_count - known : 0;
    return sum + own_rate * static_cast<double>(unknown);
}

} // namespace citronseam
