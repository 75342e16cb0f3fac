/// @file
/// Weights of which all pieces are at hand.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_COMPLETE_WEIGHTS_H
#define CITRONSEAM_PROGRAMS_SIDECAR_COMPLETE_WEIGHTS_H

#include <cstdint>
#include <string>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/version/chunk_store.h"
#include "citronseam/version/manifest.h"

namespace citronseam {

/// Weights that an engine is to hold.
struct wanted_weights {
    std::string model;
    std::uint64_t version{0}; ///< 0: none
    time_point named_at;      ///< when this process heard of them
};

/// @return the name under which sidecars exchange the pieces
inline std::string swarm_version(const wanted_weights& wanted) {
    return wanted.model + ":" + std::to_string(wanted.version);
}

/// Weights with their verified pieces.
struct whole_weights {
    wanted_weights wanted;
    manifest list;
    std::vector<chunk_content> pieces; ///< in the list's order
    time_point whole_at;
};

} // namespace citronseam

#endif
