/// @file
/// Series of faults that a soak run injects, derived from a seed only.
#ifndef CITRONSEAM_TESTS_SOAK_SOAK_PLAN_H
#define CITRONSEAM_TESTS_SOAK_SOAK_PLAN_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/enum_names.h"

namespace citronseam::soak {

/// What happens to a connection or a process for a while.
enum class fault_kind : std::uint8_t {
    none,
    delay,         ///< each block arrives late
    hold_requests, ///< what clients send arrives when the fault ends
    hold_answers,  ///< what the target sends arrives when the fault ends
    reset,         ///< open connections are reset
    silence,       ///< open and new connections never carry anything again
    single_bytes,  ///< each byte is sent by itself
    cut_answer,    ///< every second answer ends in order at a byte
    reset_answer,  ///< every second answer is reset at a byte
    repeat_answer, ///< an earlier answer comes again before the next one
    late_answer,   ///< an answer comes again some time after its end
    terminate,     ///< SIGTERM, later a new process
    pause,         ///< SIGSTOP, later SIGCONT
    kill           ///< SIGKILL, later a new process
};

inline constexpr std::array<enum_name<fault_kind>, 14> fault_names{{
    {fault_kind::none, "none"},
    {fault_kind::delay, "delay"},
    {fault_kind::hold_requests, "hold_requests"},
    {fault_kind::hold_answers, "hold_answers"},
    {fault_kind::reset, "reset"},
    {fault_kind::silence, "silence"},
    {fault_kind::single_bytes, "single_bytes"},
    {fault_kind::cut_answer, "cut_answer"},
    {fault_kind::reset_answer, "reset_answer"},
    {fault_kind::repeat_answer, "repeat_answer"},
    {fault_kind::late_answer, "late_answer"},
    {fault_kind::terminate, "terminate"},
    {fault_kind::pause, "pause"},
    {fault_kind::kill, "kill"},
}};

/// What a fault acts on.
enum class target_kind : std::uint8_t { gateway, sidecar, engine, desk, store };

inline constexpr std::array<enum_name<target_kind>, 5> target_names{{
    {target_kind::gateway, "gateway"},
    {target_kind::sidecar, "sidecar"},
    {target_kind::engine, "engine"},
    {target_kind::desk, "desk"},
    {target_kind::store, "store"},
}};

/// Longer than a stream with its head.
inline constexpr std::uint64_t max_cut_byte = 1200;

/// One fault of a plan.
struct planned_fault {
    milliseconds begin{0}; ///< since the start of the run
    milliseconds end{0};
    target_kind target{target_kind::gateway};
    std::size_t index{0}; ///< of the target
    fault_kind kind{fault_kind::none};
    std::uint64_t parameter{0}; ///< first byte of a cut, or milliseconds of a delay
};

/// Number of targets of a deployment.
struct target_counts {
    std::size_t gateways{0};
    std::size_t sidecars{0};
    std::size_t servers{0}; ///< engines, and as many plain servers
    std::size_t stores{0};  ///< connections to the store that fail separately
};

/// Faults of one target follow each other; those of different targets overlap.
/// @return the faults in the order of their begin
std::vector<planned_fault> make_plan(std::uint64_t seed, milliseconds duration,
                                     const target_counts& counts);

/// @return one line that describes the fault
std::string describe(const planned_fault& fault);

/// Pseudorandom numbers that are the same with every standard library.
class seeded_numbers {
public:
    explicit seeded_numbers(std::uint64_t seed) : state_(seed) {}
    /// @return a number from `first` to `last`
    std::uint64_t between(std::uint64_t first, std::uint64_t last);

private:
    std::uint64_t state_;
};

} // namespace citronseam::soak

#endif
