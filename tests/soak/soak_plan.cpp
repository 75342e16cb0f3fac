#include "soak/soak_plan.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace citronseam::soak {
namespace {

constexpr std::array<fault_kind, 3> sidecar_faults{fault_kind::terminate, fault_kind::pause,
                                                   fault_kind::kill};
constexpr std::array<fault_kind, 4> gateway_faults{fault_kind::terminate, fault_kind::pause,
                                                   fault_kind::kill, fault_kind::reload};
constexpr std::array<fault_kind, 4> configuration_changes{
    fault_kind::add_route, fault_kind::take_key, fault_kind::change_timeouts,
    fault_kind::many_routes};
/// A store's answers name no request, so none is repeated.
constexpr std::array<fault_kind, 8> store_faults{
    fault_kind::delay,      fault_kind::hold_requests, fault_kind::hold_answers,
    fault_kind::reset,      fault_kind::silence,       fault_kind::single_bytes,
    fault_kind::cut_answer, fault_kind::reset_answer};
/// A stream has pauses, so its repetition has to wait for the next request.
constexpr std::array<fault_kind, 9> engine_faults{
    fault_kind::delay,      fault_kind::hold_requests, fault_kind::hold_answers,
    fault_kind::reset,      fault_kind::silence,       fault_kind::single_bytes,
    fault_kind::cut_answer, fault_kind::reset_answer,  fault_kind::repeat_answer};
constexpr std::array<fault_kind, 10> desk_faults{
    fault_kind::delay,      fault_kind::hold_requests, fault_kind::hold_answers,
    fault_kind::reset,      fault_kind::silence,       fault_kind::single_bytes,
    fault_kind::cut_answer, fault_kind::reset_answer,  fault_kind::repeat_answer,
    fault_kind::late_answer};

/// Both ends of a range.
struct number_range {
    std::uint64_t first;
    std::uint64_t last;
};

/// Times in milliseconds.
constexpr number_range link_gap{300, 4000};
constexpr number_range process_gap{500, 5000};
constexpr number_range link_time{100, 2500};
constexpr number_range process_time{50, 3000};
/// Up to longer than the grace period.
constexpr number_range shutdown_time{200, 5000};
/// Up to well over the bound on a configuration.
constexpr number_range configuration_gap{300, 4000};
constexpr number_range configuration_time{300, 6000};
constexpr number_range weights_gap{1000, 6000};
/// Over the bound on the time in which a server that leaves still gets requests.
constexpr number_range leaving_time{2500, 7000};
constexpr number_range leaving_gap{2000, 7000};
constexpr number_range evacuation_time{500, 8000};
constexpr number_range evacuation_gap{4000, 12000};
constexpr number_range storm_time{4000, 8000};
/// Leaves time for the checks after the last disturbance.
constexpr number_range calm_time{7000, 9000};
constexpr number_range delay{1, 400};
/// Longer than the pauses inside an answer.
constexpr number_range late{100, 400};
constexpr number_range cut_byte{1, max_cut_byte};

template<std::size_t Size>
fault_kind choose(seeded_numbers& numbers, const std::array<fault_kind, Size>& kinds) {
    return kinds.at(numbers.between(0, Size - 1));
}

fault_kind choose_kind(seeded_numbers& numbers, target_kind target) {
    switch (target) {
    case target_kind::gateway:
        return choose(numbers, gateway_faults);
    case target_kind::sidecar:
        return choose(numbers, sidecar_faults);
    case target_kind::desk:
        return choose(numbers, desk_faults);
    case target_kind::engine:
        return choose(numbers, engine_faults);
    case target_kind::store:
    case target_kind::peer:
    case target_kind::sidecar_store:
    case target_kind::origin:
        return choose(numbers, store_faults);
    case target_kind::configuration:
        return choose(numbers, configuration_changes);
    case target_kind::weights:
        return fault_kind::new_weights;
    case target_kind::membership:
        return fault_kind::leave;
    case target_kind::zone:
        break;
    }
    return fault_kind::evacuate;
}

bool is_process(target_kind target) {
    return target == target_kind::gateway || target == target_kind::sidecar;
}

number_range time_of(target_kind target, fault_kind kind) {
    switch (kind) {
    case fault_kind::terminate:
        return shutdown_time;
    case fault_kind::leave:
        return leaving_time;
    case fault_kind::evacuate:
        return evacuation_time;
    default:
        break;
    }
    if (target == target_kind::configuration) {
        return configuration_time;
    }
    return is_process(target) ? process_time : link_time;
}

number_range gap_of(target_kind target) {
    switch (target) {
    case target_kind::configuration:
        return configuration_gap;
    case target_kind::weights:
        return weights_gap;
    case target_kind::membership:
        return leaving_gap;
    case target_kind::zone:
        return evacuation_gap;
    default:
        return is_process(target) ? process_gap : link_gap;
    }
}

number_range parameter_of(fault_kind kind) {
    if (kind == fault_kind::late_answer) {
        return late;
    }
    const bool is_cut = kind == fault_kind::cut_answer || kind == fault_kind::reset_answer;
    return is_cut ? cut_byte : delay;
}

milliseconds choose_time(seeded_numbers& numbers, number_range range) {
    return milliseconds(numbers.between(range.first, range.last));
}

/// A period without unplanned faults but for one gateway.
struct calm_period {
    milliseconds begin{0};
    milliseconds end{0};
    std::size_t disturbed_gateway{0};
};

std::vector<calm_period> make_calms(seeded_numbers& numbers, milliseconds duration,
                                    std::size_t gateway_count) {
    std::vector<calm_period> calms;
    milliseconds at{0};
    while (at < duration) {
        calm_period calm;
        calm.begin = at + choose_time(numbers, storm_time);
        calm.end = calm.begin + choose_time(numbers, calm_time);
        calm.disturbed_gateway = numbers.between(0, gateway_count - 1);
        calms.push_back(calm);
        at = calm.end;
    }
    return calms;
}

/// @return whether callers do not depend on the target
bool is_of_weights(target_kind target) {
    return target == target_kind::sidecar || target == target_kind::sidecar_store ||
           target == target_kind::origin;
}

/// @return the calm period that the fault would disturb
std::optional<calm_period> disturbed_calm(const planned_fault& fault,
                                          const std::vector<calm_period>& calms) {
    const bool is_of_gateway = fault.target == target_kind::gateway ||
                               fault.target == target_kind::store ||
                               fault.target == target_kind::peer;
    const bool is_harmless = is_planned(fault.kind) || is_of_weights(fault.target);
    for (const auto& calm : calms) {
        if (!is_harmless && fault.begin < calm.end && fault.end > calm.begin &&
            !(is_of_gateway && fault.index == calm.disturbed_gateway)) {
            return calm;
        }
    }
    return std::nullopt;
}

void add_faults(std::vector<planned_fault>& plan, seeded_numbers& numbers, milliseconds duration,
                const std::vector<calm_period>& calms, target_kind target, std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
        milliseconds at{0};
        while (true) {
            planned_fault fault;
            fault.target = target;
            fault.index = index;
            fault.begin = at + choose_time(numbers, gap_of(target));
            fault.kind = choose_kind(numbers, target);
            fault.end = fault.begin + choose_time(numbers, time_of(target, fault.kind));
            const number_range parameter = parameter_of(fault.kind);
            fault.parameter = numbers.between(parameter.first, parameter.last);
            if (fault.end >= duration) {
                break;
            }
            if (const auto calm = disturbed_calm(fault, calms)) {
                at = calm->end;
                continue;
            }
            plan.push_back(fault);
            at = fault.end;
        }
    }
}

} // namespace

std::uint64_t seeded_numbers::between(std::uint64_t first, std::uint64_t last) {
    // SplitMix64.
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    return first + mixed % (last - first + 1);
}

bool is_planned(fault_kind kind) {
    return kind == fault_kind::terminate || kind >= fault_kind::reload;
}

std::vector<planned_fault> make_plan(std::uint64_t seed, milliseconds duration,
                                     const target_counts& counts) {
    seeded_numbers numbers(seed);
    const auto calms = make_calms(numbers, duration, counts.gateways);
    std::vector<planned_fault> plan;
    for (const auto& [target, count] : std::vector<std::pair<target_kind, std::size_t>>{
             {target_kind::gateway, counts.gateways},
             {target_kind::sidecar, counts.sidecars},
             {target_kind::engine, counts.servers},
             {target_kind::desk, counts.servers},
             {target_kind::store, counts.stores},
             {target_kind::peer, counts.gateways},
             {target_kind::sidecar_store, counts.sidecars},
             {target_kind::origin, 1},
             {target_kind::configuration, 1},
             {target_kind::weights, 1},
             {target_kind::membership, service_count},
             {target_kind::zone, 1}}) {
        add_faults(plan, numbers, duration, calms, target, count);
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const auto& left, const auto& right) { return left.begin < right.begin; });
    return plan;
}

std::string describe(const planned_fault& fault) {
    return std::to_string(fault.begin.count()) + " to " + std::to_string(fault.end.count()) +
           " ms: " + std::string(find_name(target_names, fault.target)) + "-" +
           std::to_string(fault.index) + " " + std::string(find_name(fault_names, fault.kind)) +
           " " + std::to_string(fault.parameter);
}

} // namespace citronseam::soak
