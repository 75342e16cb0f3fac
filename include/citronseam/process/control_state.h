/// @file
/// What processes agree on: the accepted configuration, notices about availability zones, and the
/// evidence that both are the newest.
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

/// The head row: which configuration is accepted.
struct configuration_head {
    std::uint64_t generation{0};     ///< 0 means none was ever accepted
    std::string hash;                ///< SHA-256 of the body, and the name of its object
    std::string attempt;             ///< unique identifier of the write that was accepted
    std::string parent;              ///< attempt of the generation before, empty for the first
    std::string author;              ///< who applied it
    std::uint64_t accepted_at_ms{0}; ///< Unix time in milliseconds
};

/// @return the row's JSON text
std::string to_json(const configuration_head& head);
/// @return the head, or an error when the text is not one
result<configuration_head> parse_head(const std::string& text);

/// An accepted configuration with its text. Immutable and shared between threads.
struct accepted_configuration {
    std::uint64_t generation{0};
    std::string hash;
    std::string attempt;
    std::string body; ///< YAML text
    configuration content;
};

/// Checks a body against its hash and reads it.
/// @return the configuration, or an error; nothing is accepted in part
result<std::shared_ptr<const accepted_configuration>>
read_accepted(std::uint64_t generation, std::string hash, std::string attempt, std::string body);

/// An operator's direct word on an availability zone. It travels between processes without the
/// table service and ends by itself; the accepted configuration holds what lasts.
struct zone_notice {
    std::string availability_zone;
    std::uint64_t stamp_ms{0}; ///< Unix time of the operator's command; the later one counts
    bool is_out{true};
    time_point expires;
};

/// Control state of one process.
struct control_state {
    std::shared_ptr<const accepted_configuration> accepted; ///< nullptr until the first is known
    std::map<std::string, zone_notice> notices;             ///< by availability zone
    time_point evidence; ///< latest moment at which the state was known to be the newest
    bool has_evidence{false};
};

/// Takes a configuration if its generation is higher than the present one.
/// @return whether it was taken; a generation never goes back
bool take_configuration(control_state& state,
                        std::shared_ptr<const accepted_configuration> candidate);

/// Takes a notice if it is later than the one known for its zone.
/// @return whether it was taken, so that it must be passed on
bool take_notice(control_state& state, const zone_notice& notice);

/// Drops notices that ended.
void expire_notices(control_state& state, time_point now);

/// Takes evidence that the state was the newest at `moment`. Evidence only moves forward.
void take_evidence(control_state& state, time_point moment) noexcept;

/// @return the generation in force, 0 when there is none
std::uint64_t generation_of(const control_state& state) noexcept;

/// @return whether the zone is in service by configuration and notices; an unknown zone is not
bool is_zone_in_service(const control_state& state, std::string_view zone, time_point now);

/// @return whether the state was known to be the newest within the configured bound
bool has_recent_evidence(const control_state& state, time_point now) noexcept;

/// @return whether evidence is older than the configured bound and the policy is to refuse
bool is_evidence_stale(const control_state& state, time_point now) noexcept;

/// Evidence from contact: when a majority of the known entries was heard, the state they hold was
/// merged into this one, so the state was the newest among them at the moment returned.
/// @param last_heard  for each other known entry, when its last heartbeat came
/// @param known_total number of entries on the platform's list, this one included
/// @param now         present time; this entry hears itself now
/// @return the latest moment since which a majority was heard, or time_point{} when there is none
time_point majority_contact(std::vector<time_point> last_heard, std::size_t known_total,
                            time_point now);

} // namespace citronseam

#endif
