/// @file
/// Weights of which all chunks have been fetched.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_COMPLETE_WEIGHTS_H
#define CITRONSEAM_PROGRAMS_SIDECAR_COMPLETE_WEIGHTS_H

#include <cstdint>
#include <string>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/version/chunk_store.h"
#include "citronseam/version/manifest.h"

namespace citronseam {

/// Weights that an engine should load.
struct target_weights {
    std::string model;
    std::uint64_t version{0}; ///< 0: none
    time_point announced_at;  ///< as far as this process knows
};

/// @return the version name under which sidecars exchange the chunks
inline std::string swarm_version(const target_weights& target) {
    return target.model + ":" + std::to_string(target.version);
}

/// Weights with their verified chunks.
struct complete_weights {
    target_weights target;
    manifest list;
    std::vector<chunk_content> chunks; ///< in the manifest's order
    time_point complete_at;
};

} // namespace citronseam

#endif
