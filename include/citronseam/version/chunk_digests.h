/// @file
/// Digests of a version's chunks, from answers of which each may be wrong.
///
/// A list of digests can be well-formed and wrong in any way, so no list is believed as a whole. A
/// digest is confirmed by bytes that were sent for its place and match it: two answers to different
/// requests then agree. Where lists disagree, a digest needs two statements before that.
#ifndef CITRONSEAM_VERSION_CHUNK_DIGESTS_H
#define CITRONSEAM_VERSION_CHUNK_DIGESTS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/version/manifest.h"

namespace citronseam {

/// Number and size of a version's chunks.
struct weights_shape {
    std::uint64_t chunks{0};      ///< 0: not known
    std::uint64_t chunk_bytes{0}; ///< of each chunk; 0: not known

    bool operator==(const weights_shape&) const = default;
};

/// Who stated a list.
enum class list_source : std::uint8_t {
    origin,
    member ///< another process, that may know it from the same answer of the origin
};

/// A list of digests that was received.
struct digest_list {
    list_source source{list_source::origin};
    std::uint64_t chunk_bytes{0};
    std::vector<std::string> digests; ///< by chunk, hexadecimal, in capitals or not
    /// By chunk: the sender holds bytes that were sent for this place and match the digest.
    std::vector<bool> confirmed;
};

/// What became of a list.
enum class list_verdict : std::uint8_t {
    used,
    unreadable,  ///< a digest is none
    other_shape, ///< not the shape that the configuration states
    unproven     ///< the configuration states no shape, and no second list has the same one
};
/// @return the name of a verdict, for logs
std::string_view name(list_verdict verdict) noexcept;

/// A digest that lists state for a place.
struct stated_digest {
    std::string digest;
    std::uint32_t statements{0};
};

/// What is known of a version's digests. Bounded: a few digests for each place.
struct chunk_digests {
    weights_shape configured;                       ///< from the configuration
    weights_shape shape;                            ///< of the used lists; unknown before the first
    std::vector<std::vector<stated_digest>> places; ///< by chunk, newest first
    std::optional<digest_list> unproven;            ///< waits for a second one of its shape
};

/// Statements that count against other ones for the same place.
constexpr std::uint32_t sufficient_statements = 2;
/// Digests that are kept for a place.
constexpr std::size_t max_stated_digests = 4;

/// Adds a list.
list_verdict add_list(chunk_digests& known, const digest_list& list);

/// @return whether lists state different digests for a place, none of them sufficiently often
bool is_disputed(const chunk_digests& known, std::size_t place) noexcept;

/// @return number of disputed places
std::size_t count_disputed(const chunk_digests& known) noexcept;

/// @return whether the newest digest of a place does not count yet
bool has_open_statement(const chunk_digests& known, std::size_t place) noexcept;

/// @return the list of chunks as known now, with all digests that count for a place
manifest make_manifest(const chunk_digests& known);

} // namespace citronseam

#endif
