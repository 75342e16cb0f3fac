/// @file
/// Manifest of a model version: an ordered list of chunk hashes. The manifest's own hash identifies
/// the version.
#ifndef CITRONSEAM_VERSION_MANIFEST_H
#define CITRONSEAM_VERSION_MANIFEST_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/error.h"
#include "citronseam/process/sizes.h"

namespace citronseam {

/// Bytes per chunk, except for the last one of a version.
constexpr std::uint64_t default_chunk_size = 256 * kibibyte;
/// Maximum bytes per chunk; a chunk must fit into one frame of the peer protocol.
constexpr std::uint64_t max_chunk_size = mebibyte;

/// A fixed-size part of a model's weights.
struct chunk {
    std::string hash;      ///< SHA-256 of the content
    std::uint32_t size{0}; ///< bytes
    /// Other hashes that are as likely: the content tells which one is right.
    std::vector<std::string> alternatives{};
    bool is_disputed{false}; ///< nothing tells which hash is right, so no content is valid

    bool operator==(const chunk&) const = default;
};

/// The list of chunks of a version.
struct manifest {
    std::string source;          ///< name of the weights at the origin
    std::uint64_t chunk_size{0}; ///< bytes of each chunk but the last
    std::uint64_t total_size{0}; ///< bytes of all chunks
    std::vector<chunk> chunks;
    /// Its own hash was verified. Otherwise a hash may be wrong, and a chunk is held only for the
    /// version and the place for which it was sent.
    bool is_identified{true};
};

/// Splits weights into chunks and hashes them.
/// @param source     name of the weights at the origin
/// @param content    the weights
/// @param chunk_size bytes of a chunk, at most max_chunk_size
manifest make_manifest(std::string source, std::string_view content, std::uint64_t chunk_size);

/// @return the canonical JSON text of a manifest; its SHA-256 is the version's identity
std::string to_json(const manifest& list);

/// Parses a manifest and verifies its hash and its sizes.
/// @param text     JSON text
/// @param identity expected hash of `text`
result<manifest> parse_manifest(const std::string& text, std::string_view identity);

/// @return the hash of the chunk at `index` that `content` has; nullptr if it has none of them
const std::string* find_chunk_hash(const manifest& list, std::size_t index,
                                   std::string_view content);
/// @return whether `content` is the chunk at `index`
bool is_chunk_valid(const manifest& list, std::size_t index, std::string_view content);

/// @return byte offset of a chunk in the weights
std::uint64_t chunk_offset(const manifest& list, std::size_t index) noexcept;

} // namespace citronseam

#endif
