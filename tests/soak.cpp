// Soak: runs gateways and sidecars under a seeded series of faults and checks what callers and
// servers see. Exits with 1 if a promise was broken.
#include <cstdlib>
#include <cstring>
#include <iostream>

#include "soak/soak_run.h"

namespace {

constexpr const char* usage = "usage: soak --seed N --seconds S\n";

} // namespace

int main(int argc, char** argv) {
    std::uint64_t seed = 0;
    std::uint64_t duration_s = 0;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::uint64_t value = std::strtoull(argv[i + 1], nullptr, 10);
        if (std::strcmp(argv[i], "--seed") == 0) {
            seed = value;
        } else if (std::strcmp(argv[i], "--seconds") == 0) {
            duration_s = value;
        }
    }
    if (seed == 0 || duration_s == 0) {
        std::cerr << usage;
        return 2;
    }
    citronseam::soak::soak_run run(seed, citronseam::seconds(duration_s));
    const bool is_kept = run.run();
    std::cout << "seed " << seed << ", " << duration_s
              << " s: " << (is_kept ? "all promises kept" : "FAILED") << "\n";
    return is_kept ? 0 : 1;
}
