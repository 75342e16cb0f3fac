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
    kill,          ///< SIGKILL, later a new process
    reload,        ///< SIGHUP
    add_route,     ///< later it is removed
    take_key,      ///< later it is given back
    change_timeouts,
    many_routes, ///< a large configuration
    new_weights, ///< a further version
    leave,       ///< a server announces that it leaves, and comes back
    evacuate     ///< nothing is sent to the servers of a zone
};

inline constexpr std::array<enum_name<fault_kind>, 22> fault_names{{
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
    {fault_kind::reload, "reload"},
    {fault_kind::add_route, "add_route"},
    {fault_kind::take_key, "take_key"},
    {fault_kind::change_timeouts, "change_timeouts"},
    {fault_kind::many_routes, "many_routes"},
    {fault_kind::new_weights, "new_weights"},
    {fault_kind::leave, "leave"},
    {fault_kind::evacuate, "evacuate"},
}};

/// What a fault or planned work acts on.
enum class target_kind : std::uint8_t {
    gateway,
    sidecar,
    engine,
    desk,
    store, ///< connections of a gateway to the store
    peer,  ///< connections that other gateways and sidecars open to a gateway
    sidecar_store,
    origin,
    configuration,
    weights,
    membership, ///< of the plain servers, or after these of the engines
    zone
};

inline constexpr std::array<enum_name<target_kind>, 12> target_names{{
    {target_kind::gateway, "gateway"},
    {target_kind::sidecar, "sidecar"},
    {target_kind::engine, "engine"},
    {target_kind::desk, "desk"},
    {target_kind::store, "store"},
    {target_kind::peer, "peer"},
    {target_kind::sidecar_store, "sidecar-store"},
    {target_kind::origin, "origin"},
    {target_kind::configuration, "configuration"},
    {target_kind::weights, "weights"},
    {target_kind::membership, "membership"},
    {target_kind::zone, "zone"},
}};

/// Plain servers and engines.
inline constexpr std::size_t service_count = 2;

/// Longer than a stream with its head.
inline constexpr std::uint64_t max_cut_byte = 1200;

/// One fault of a plan.
struct planned_fault {
    milliseconds begin{0}; ///< since the start of the run
    milliseconds end{0};
    target_kind target{target_kind::gateway};
    std::size_t index{0}; ///< of the target
    fault_kind kind{fault_kind::none};
    /// First byte of a cut, milliseconds of a delay, or a choice among servers or zones.
    std::uint64_t parameter{0};
};

/// Number of targets of a deployment.
struct target_counts {
    std::size_t gateways{0};
    std::size_t sidecars{0};
    std::size_t servers{0}; ///< engines, and as many plain servers
    std::size_t stores{0};  ///< gateways whose connections to the store fail
};

/// @return whether it is planned work, which excuses no lost request
bool is_planned(fault_kind kind);

/// Faults of one target follow each other; those of different targets overlap. In calm periods,
/// only planned work, the faults of one gateway and its connections, and those of sidecars go on,
/// so that the promises with a time bound are checked at the other gateways.
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
