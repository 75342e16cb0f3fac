/// @file
/// A model version: an ordered list of chunk hashes. The hash of the list is the version's
/// identity.
#ifndef CITRONSEAM_VERSION_MANIFEST_H
#define CITRONSEAM_VERSION_MANIFEST_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/error.h"
#include "citronseam/process/sizes.h"

namespace citronseam {

/// Bytes of a chunk, except the last one of a version.
constexpr std::uint64_t default_chunk_size = 256 * kibibyte;
/// A chunk must fit into one frame between processes.
constexpr std::uint64_t largest_chunk_size = mebibyte;

/// One piece of a model's weights.
struct chunk {
    std::string hash;      ///< SHA-256 of the content
    std::uint32_t size{0}; ///< bytes
};

/// The list of pieces.
struct manifest {
    std::string source;          ///< name of the weights at the origin
    std::uint64_t chunk_size{0}; ///< bytes of each chunk but the last
    std::uint64_t total_size{0}; ///< bytes of the whole
    std::vector<chunk> chunks;
};

/// Cuts weights into chunks.
/// @param source     name of the weights at the origin
/// @param content    the weights
/// @param chunk_size bytes of a chunk, at most largest_chunk_size
manifest make_manifest(std::string source, std::string_view content, std::uint64_t chunk_size);

/// @return the canonical text of a manifest; its hash is the version's identity
std::string to_json(const manifest& list);

/// Reads a manifest and checks that it is the one asked for.
/// @param text     content of the object
/// @param identity expected hash of `text`
result<manifest> parse_manifest(const std::string& text, std::string_view identity);

/// @return whether `content` is the chunk at `index`
bool is_chunk_valid(const manifest& list, std::size_t index, std::string_view content);

/// @return position of a chunk inside the weights, in bytes
std::uint64_t chunk_offset(const manifest& list, std::size_t index) noexcept;

} // namespace citronseam

#endif
