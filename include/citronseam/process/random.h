/// @file
/// Random numbers and hashing. Decision logic takes the generator as an argument, so tests can seed
/// it.
#ifndef CITRONSEAM_PROCESS_RANDOM_H
#define CITRONSEAM_PROCESS_RANDOM_H

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace citronseam {

/// Random number generator.
using random_source = std::mt19937_64;

/// @return a random number in [0, bound); 0 when bound is 0. Uses multiply-shift instead of a
/// modulo to avoid a division in the choice of a backend server.
std::uint64_t random_below(random_source& random, std::uint64_t bound) noexcept;

/// @return a generator seeded from the operating system
random_source seeded_random_source();

/// @return a 128-bit identifier in hexadecimal, unique for practical purposes
std::string unique_identifier(random_source& random);

/// @return the 64-bit XXH3 hash of a text, used for rendezvous hashing and fingerprints
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0) noexcept;

/// @return the rendezvous weight of a node for a key: the nodes with the highest weights are chosen
std::uint64_t rendezvous_weight(std::string_view key, std::string_view node) noexcept;

} // namespace citronseam

#endif
