/// @file
/// Units of size, in bytes.
#ifndef CITRONSEAM_PROCESS_SIZES_H
#define CITRONSEAM_PROCESS_SIZES_H

#include <cstddef>

namespace citronseam {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

} // namespace citronseam

#endif
