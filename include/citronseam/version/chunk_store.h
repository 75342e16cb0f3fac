/// @file
/// Verified chunks held in memory, up to a bound. Chunks are shared between versions by hash.
#ifndef CITRONSEAM_VERSION_CHUNK_STORE_H
#define CITRONSEAM_VERSION_CHUNK_STORE_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "citronseam/version/manifest.h"

namespace citronseam {

/// Content of a chunk, shared so that it can be sent while it is dropped.
using chunk_content = std::shared_ptr<const std::string>;

/// Chunks by hash.
struct chunk_store {
    std::map<std::string, chunk_content> chunks;
    std::uint64_t used{0};  ///< bytes held
    std::uint64_t limit{0}; ///< bytes that may be held
};

/// Adds a chunk that was verified against its hash.
/// @return false when it does not fit
bool add_chunk(chunk_store& store, const std::string& hash, chunk_content content);
/// @return the chunk, or nullptr
chunk_content find_chunk(const chunk_store& store, const std::string& hash);
/// Drops all chunks that none of the manifests lists.
void keep_only(chunk_store& store, const std::vector<const manifest*>& kept);
/// @return number of the manifest's chunks that are held
std::uint32_t count_held(const chunk_store& store, const manifest& list);

} // namespace citronseam

#endif
