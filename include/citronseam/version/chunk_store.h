/// @file
/// Verified chunks in memory, up to a limit. Versions share chunks with the same hash.
#ifndef CITRONSEAM_VERSION_CHUNK_STORE_H
#define CITRONSEAM_VERSION_CHUNK_STORE_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "citronseam/version/manifest.h"

namespace citronseam {

/// Content of a chunk; shared, so that it stays valid for pending sends after its removal.
using chunk_content = std::shared_ptr<const std::string>;

/// Chunks by hash.
struct chunk_store {
    std::map<std::string, chunk_content> chunks;
    std::uint64_t used_bytes{0};  ///< bytes of all chunks
    std::uint64_t limit_bytes{0}; ///< maximum of used_bytes
};

/// Adds a chunk that was verified against its hash.
/// @return false if it would exceed the limit; true if it was added or already present
bool add_chunk(chunk_store& store, const std::string& hash, chunk_content content);
/// @return the content, or nullptr if it is not held
chunk_content find_chunk(const chunk_store& store, const std::string& hash);
/// Removes all chunks that none of the manifests lists.
void retain_chunks(chunk_store& store, const std::vector<const manifest*>& kept);
/// @return number of chunks of the manifest that are held
std::uint32_t count_held_chunks(const chunk_store& store, const manifest& list);

} // namespace citronseam

#endif
