/// @file
/// Bitmap encoding of the set of chunks that an agent holds: one bit per chunk, lowest bit first.
#ifndef CITRONSEAM_VERSION_CHUNK_BITMAP_H
#define CITRONSEAM_VERSION_CHUNK_BITMAP_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace citronseam {

/// @return the bitmap, eight chunks per byte
std::string pack_chunk_bitmap(const std::vector<bool>& held);

/// @param bytes result of pack_chunk_bitmap(); chunks of missing bytes count as not held
/// @param count number of chunks
std::vector<bool> unpack_chunk_bitmap(std::string_view bytes, std::size_t count);

} // namespace citronseam

#endif
