/// @file
/// State that processes replicate: the accepted configuration, notices about availability zones,
/// and the time at which both were last confirmed to be the newest (the evidence).
#ifndef CITRONSEAM_PROCESS_CONTROL_STATE_H
#define CITRONSEAM_PROCESS_CONTROL_STATE_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/configuration.h"

namespace citronseam {

/// The head row of the table service, which names the accepted configuration.
struct configuration_head {
    std::uint64_t generation{0}; ///< 0: none was ever accepted
    std::string hash;    ///< SHA-256 of the body; also the name of its object in the object store
    std::string attempt; ///< unique identifier of the accepted write
    std::string parent;  ///< `attempt` of the previous generation, empty for the first
    std::string author;  ///< who applied it
    std::uint64_t accepted_at_ms{0}; ///< Unix time in milliseconds
};

/// @return the JSON text of the row
std::string to_json(const configuration_head& head);
/// @return the head, or an error when the text is not a valid head row
result<configuration_head> parse_head(const std::string& text);

/// An accepted configuration, parsed and as text. Immutable and shared between threads.
struct accepted_configuration {
    std::uint64_t generation{0};
    std::string hash;
    std::string attempt;
    std::string body; ///< YAML text
    configuration content;
};

/// Checks a body against its hash and parses it.
/// @return the configuration, or an error; a configuration is never accepted in part
result<std::shared_ptr<const accepted_configuration>>
parse_accepted_configuration(std::uint64_t generation, std::string hash, std::string attempt,
                             std::string body);

/// An operator's temporary override for an availability zone. Processes pass it on to each other
/// without the table service, and it expires; permanent settings are in the accepted configuration.
struct zone_notice {
    std::string availability_zone;
    std::uint64_t stamp_ms{0}; ///< Unix time of the operator's command; the latest command wins
    bool is_out{true};         ///< true: the zone gets no new work
    time_point expires_at;
};

/// Control state of one process.
struct control_state {
    std::shared_ptr<const accepted_configuration>
        accepted;                               ///< nullptr until the first one is received
    std::map<std::string, zone_notice> notices; ///< by availability zone
    time_point evidence; ///< latest time at which this state was confirmed to be the newest
    bool has_evidence{false};
};

/// Replaces the configuration if the candidate's generation is higher than the current one.
/// @return whether it was replaced; the generation never decreases
bool install_configuration(control_state& state,
                           std::shared_ptr<const accepted_configuration> candidate);

/// Stores a notice if it is later than the known one for its zone.
/// @return whether it was stored and so must be forwarded to other processes
bool apply_notice(control_state& state, const zone_notice& notice);

/// Removes expired notices.
void expire_notices(control_state& state, time_point now);

/// Records that the state was confirmed to be the newest at `moment`. An earlier time than the one
/// already recorded is ignored.
void advance_evidence(control_state& state, time_point moment) noexcept;

/// @return the generation of the accepted configuration, 0 when there is none
std::uint64_t accepted_generation(const control_state& state) noexcept;

/// @return whether configuration and notices leave the zone in service; false for an unknown zone
bool is_zone_in_service(const control_state& state, std::string_view zone, time_point now);

/// @return whether the state was confirmed to be the newest within the configured maximum age
bool has_recent_evidence(const control_state& state, time_point now) noexcept;

/// @return whether new work must be refused: there is no configuration or no evidence yet, or
/// the evidence is older than the configured maximum age and the policy is to refuse
bool must_refuse_for_stale_evidence(const control_state& state, time_point now) noexcept;

/// Computes the evidence that follows from heartbeats. Each heartbeat merged the sender's state
/// into this one, so this state was the newest in a majority of the entries at the time returned.
/// @param last_heard  for each other known entry, the time of its last heartbeat
/// @param entry_count number of entries on the platform's list, this one included
/// @param now         current time; counts as the last heartbeat of this entry itself
/// @return the latest time since which a majority has sent a heartbeat, or time_point{} when there
/// is none
time_point last_majority_contact(std::vector<time_point> last_heard, std::size_t entry_count,
                                 time_point now);

} // namespace citronseam

#endif
