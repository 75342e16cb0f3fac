#include "citronseam/process/random.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace citronseam {

std::uint64_t random_below(random_source& random, std::uint64_t bound) noexcept {
    constexpr unsigned shift_bits = 32;
    const std::uint64_t high_bits = random() >> shift_bits;
    return (high_bits * bound) >> shift_bits;
}

random_source seeded_random_source() {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source{seed};
}

std::string unique_identifier(random_source& random) {
    std::array<char, 33> text{};
    const auto high = static_cast<unsigned long long>(random());
    const auto low = static_cast<unsigned long long>(random());
    std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
    return text.data();
}

std::uint64_t hash_text(std::string_view text, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view node) noexcept {
    return hash_text(node, hash_text(key));
}

} // namespace citronseam
