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
constexpr std::array<fault_kind, 10> desk_faults{
    fault_kind::delay,      fault_kind::hold_requests, fault_kind::hold_answers,
    fault_kind::reset,      fault_kind::silence,       fault_kind::single_bytes,
    fault_kind::cut_answer, fault_kind::reset_answer,  fault_kind::repeat_answer,
    fault_kind::late_answer};

/// Times in milliseconds.
constexpr std::uint64_t min_gap = 300;
constexpr std::uint64_t max_gap = 4000;
constexpr std::uint64_t min_link_fault = 100;
constexpr std::uint64_t max_link_fault = 2500;
constexpr std::uint64_t min_process_fault = 50;
constexpr std::uint64_t max_process_fault = 3000;
constexpr std::uint64_t max_delay = 400;
/// Longer than the head and body of a plain server's answer.
constexpr std::uint64_t max_cut_byte = 450;

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
    case target_kind::store:
        break;
    }
    return choose(numbers, store_faults);
}

void add_faults(std::vector<planned_fault>& plan, seeded_numbers& numbers, milliseconds duration,
                target_kind target, std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
        milliseconds at{0};
        while (true) {
            planned_fault fault;
            fault.target = target;
            fault.index = index;
            fault.begin = at + milliseconds(numbers.between(min_gap, max_gap));
            fault.kind = choose_kind(numbers, target);
            const bool is_process =
                target == target_kind::gateway || target == target_kind::sidecar;
            fault.end =
                fault.begin +
                milliseconds(is_process ? numbers.between(min_process_fault, max_process_fault)
                                        : numbers.between(min_link_fault, max_link_fault));
            const bool is_cut =
                fault.kind == fault_kind::cut_answer || fault.kind == fault_kind::reset_answer;
            fault.parameter = numbers.between(1, is_cut ? max_cut_byte : max_delay);
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
