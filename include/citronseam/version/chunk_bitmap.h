/// @file
/// The set of chunks that an agent holds, as it travels: one bit a chunk, the lowest bit first.
#ifndef CITRONSEAM_VERSION_CHUNK_BITMAP_H
#define CITRONSEAM_VERSION_CHUNK_BITMAP_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace citronseam {

/// @return the bits, eight in a byte
std::string pack_held(const std::vector<bool>& held);

/// @param bytes what pack_held() gave; missing bytes count as chunks that are not held
/// @param count number of chunks
std::vector<bool> unpack_held(std::string_view bytes, std::size_t count);

} // namespace citronseam

#endif
