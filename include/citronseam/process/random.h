/// @file
/// Randomness as an argument: decision logic takes the generator, tests give it a seed.
#ifndef CITRONSEAM_PROCESS_RANDOM_H
#define CITRONSEAM_PROCESS_RANDOM_H

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace citronseam {

/// The generator that decision logic takes.
using random_source = std::mt19937_64;

/// @return a number in [0, bound); 0 when bound is 0. Multiply-shift instead of a modulo keeps the
/// choice of a backend server free of a division.
std::uint64_t below(random_source& random, std::uint64_t bound) noexcept;

/// @return a generator seeded from the operating system
random_source seeded_random_source();

/// @return a 128-bit identifier in hexadecimal, unique for practical purposes
std::string unique_identifier(random_source& random);

/// @return the 64-bit xxHash of a text, used for rendezvous hashing and fingerprints
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0) noexcept;

/// @return the rendezvous weight of a node for a key: the nodes with the highest weights are chosen
std::uint64_t rendezvous_weight(std::string_view key, std::string_view node) noexcept;

} // namespace citronseam

#endif
