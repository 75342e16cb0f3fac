#include "citronseam/request/arrival_spread.h"

#include <algorithm>
#include <numeric>

namespace citronseam {
namespace {

/// The level is exact to far less than a request.
constexpr int level_steps = 40;
/// Smallest cost of a request, so that a level is always reached.
constexpr double min_cost_ms = 0.001;

/// @return requests that a candidate takes until its cost reaches the level
double requests_below(const spread_candidate& candidate, const spread_costs& costs,
                      double level_ms) noexcept {
    const double budget_ms = level_ms - candidate.cost_ms;
    if (budget_ms <= 0) {
        return 0;
    }
    const double started_ms = std::max(costs.per_started_ms, min_cost_ms);
    const double waiting_ms = std::max(costs.per_waiting_ms, started_ms);
    const double free_slots = std::max(candidate.free_slots, 0.0);
    const double started = std::min(budget_ms / started_ms, free_slots);
    const double waiting = std::max(0.0, budget_ms - free_slots * started_ms) / waiting_ms;
    return std::min(started + waiting, candidate.room);
}

double requests_below(const std::vector<spread_candidate>& candidates, const spread_costs& costs,
                      double level_ms) noexcept {
    return std::accumulate(candidates.begin(), candidates.end(), 0.0,
                           [&](double sum, const spread_candidate& candidate) {
                               return sum + requests_below(candidate, costs, level_ms);
                           });
}

} // namespace

std::vector<double> place_requests(const std::vector<spread_candidate>& candidates,
                                   const spread_costs& costs, double requests) {
    std::vector<double> placed(candidates.size(), 0.0);
    if (candidates.empty() || requests <= 0) {
        return placed;
    }
    const auto [cheapest, dearest] = std::minmax_element(
        candidates.begin(), candidates.end(),
        [](const auto& left, const auto& right) { return left.cost_ms < right.cost_ms; });
    double low = cheapest->cost_ms;
    // At this level one candidate alone has taken all, or each one has no room left.
    double high = dearest->cost_ms + (requests + 1) * std::max({costs.per_started_ms,
                                                                costs.per_waiting_ms, min_cost_ms});
    for (int step = 0; step < level_steps; ++step) {
        const double middle = (low + high) / 2;
        (requests_below(candidates, costs, middle) < requests ? low : high) = middle;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        placed[i] = requests_below(candidates[i], costs, high);
    }
    return placed;
}

std::size_t choose_by_arrivals(const std::vector<spread_candidate>& candidates,
                               const spread_costs& costs, double expected_requests,
                               random_source& random) {
    const auto cheapest =
        static_cast<std::size_t>(std::min_element(candidates.begin(), candidates.end(),
                                                  [](const auto& left, const auto& right) {
                                                      return left.cost_ms < right.cost_ms;
                                                  }) -
                                 candidates.begin());
    const std::vector<double> placed = place_requests(candidates, costs, expected_requests);
    const double sum = std::accumulate(placed.begin(), placed.end(), 0.0);
    if (sum <= 0) {
        return cheapest;
    }
    constexpr std::uint64_t steps = 1U << 20U;
    double rest = sum * static_cast<double>(random_below(random, steps)) / steps;
    for (std::size_t i = 0; i < placed.size(); ++i) {
        if (rest < placed[i]) {
            return i;
        }
        rest -= placed[i];
    }
    return cheapest;
}

} // namespace citronseam
