/// @file
/// A version of weights and which of its chunks are held. Whether a hash is right is not known for
/// a list that was not identified: there a chunk counts only at the place for which it was sent.
#ifndef CITRONSEAM_VERSION_HELD_VERSION_H
#define CITRONSEAM_VERSION_HELD_VERSION_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "citronseam/version/chunk_store.h"
#include "citronseam/version/manifest.h"

namespace citronseam {

/// A version and its held chunks, whose contents are in a chunk_store.
struct held_version {
    std::string name;
    manifest list;
    std::vector<bool> is_held; ///< by chunk
};

/// Starts a version. Of an identified list, all chunks are held whose hashes the store has.
/// @param before the same version as held so far, of which chunks stay held; nullptr: none
held_version make_held_version(std::string name, const manifest& list, const chunk_store& store,
                               const held_version* before);

/// What became of a chunk's content.
enum class chunk_outcome : std::uint8_t { stored, mismatch, memory_full };

/// Stores content that was sent for a place. Its hash becomes the only one of the place.
/// @param content moved from unless it is a mismatch
chunk_outcome store_chunk(held_version& version, chunk_store& store, std::size_t place,
                          std::string& content);

/// Takes the hashes of another list for the chunks that are not held.
/// @return the places whose hashes changed; none if the list has another shape
std::vector<std::size_t> amend_list(held_version& version, const manifest& list);

/// @return the content of a chunk; nullptr if it is not held
chunk_content held_chunk(const held_version& version, const chunk_store& store, std::size_t place);

/// @return number of chunks that are held
std::size_t count_held_chunks(const held_version& version);

/// @return whether all chunks are held; false for a version without any
bool is_complete(const held_version& version);

} // namespace citronseam

#endif
