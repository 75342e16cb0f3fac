/// @file
/// Proof of a version's list of chunks, as it is kept in the platform's store: after a restart of
/// all processes, no other one knows which list the bytes of the origin confirmed.
#ifndef CITRONSEAM_VERSION_WEIGHTS_PROOF_H
#define CITRONSEAM_VERSION_WEIGHTS_PROOF_H

#include <cstdint>
#include <string>

#include "citronseam/process/error.h"
#include "citronseam/version/manifest.h"

namespace citronseam {

/// Says which list of a version was confirmed by bytes for all of its chunks.
struct weights_proof {
    std::uint64_t version{0}; ///< 0: none
    std::string fingerprint;  ///< see fingerprint_of()

    bool operator==(const weights_proof&) const = default;
};

/// @return a hash of all hashes of a list in their order; empty if one of them is disputed
std::string fingerprint_of(const manifest& list);

/// @return the value of a proof's row
std::string to_json(const weights_proof& proof);

/// @return the proof in a row, or an error if the row cannot be read
result<weights_proof> parse_weights_proof(const std::string& text);

} // namespace citronseam

#endif
