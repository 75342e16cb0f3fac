#include "soak/soak_plan.h"

#include <algorithm>

namespace citronseam::soak {
namespace {

constexpr std::array<fault_kind, 3> process_faults{fault_kind::terminate, fault_kind::pause,
                                                   fault_kind::kill};
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
constexpr number_range process_gap{1000, 8000};
constexpr number_range link_time{100, 2500};
constexpr number_range process_time{50, 3000};
/// Up to longer than the grace period.
constexpr number_range shutdown_time{200, 5000};
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
    case target_kind::sidecar:
        return choose(numbers, process_faults);
    case target_kind::desk:
        return choose(numbers, desk_faults);
    case target_kind::engine:
        return choose(numbers, engine_faults);
    case target_kind::store:
        break;
    }
    return choose(numbers, store_faults);
}

bool is_process(target_kind target) {
    return target == target_kind::gateway || target == target_kind::sidecar;
}

number_range time_of(target_kind target, fault_kind kind) {
    if (kind == fault_kind::terminate) {
        return shutdown_time;
    }
    return is_process(target) ? process_time : link_time;
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

void add_faults(std::vector<planned_fault>& plan, seeded_numbers& numbers, milliseconds duration,
                target_kind target, std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
        milliseconds at{0};
        while (true) {
            planned_fault fault;
            fault.target = target;
            fault.index = index;
            fault.begin = at + choose_time(numbers, is_process(target) ? process_gap : link_gap);
            fault.kind = choose_kind(numbers, target);
            fault.end = fault.begin + choose_time(numbers, time_of(target, fault.kind));
            const number_range parameter = parameter_of(fault.kind);
            fault.parameter = numbers.between(parameter.first, parameter.last);
            if (fault.end >= duration) {
                break;
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

std::vector<planned_fault> make_plan(std::uint64_t seed, milliseconds duration,
                                     const target_counts& counts) {
    seeded_numbers numbers(seed);
    std::vector<planned_fault> plan;
    add_faults(plan, numbers, duration, target_kind::gateway, counts.gateways);
    add_faults(plan, numbers, duration, target_kind::sidecar, counts.sidecars);
    add_faults(plan, numbers, duration, target_kind::engine, counts.servers);
    add_faults(plan, numbers, duration, target_kind::desk, counts.servers);
    add_faults(plan, numbers, duration, target_kind::store, counts.stores);
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
