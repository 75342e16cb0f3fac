// Soak: runs gateways and sidecars under a seeded series of faults and planned work and checks what
// callers and servers see. Exits with 1 if a promise was broken.
#include <cstdlib>
#include <cstring>
#include <iostream>

#include "soak/soak_run.h"

namespace {

constexpr const char* usage = "usage: soak --seed N --seconds S [--size GATEWAYS_PER_ZONE] "
                              "[--logs DIRECTORY]\n";

} // namespace

int main(int argc, char** argv) {
    citronseam::soak::soak_options options;
    std::uint64_t duration_s = 0;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::uint64_t value = std::strtoull(argv[i + 1], nullptr, 10);
        if (std::strcmp(argv[i], "--seed") == 0) {
            options.seed = value;
        } else if (std::strcmp(argv[i], "--seconds") == 0) {
            duration_s = value;
        } else if (std::strcmp(argv[i], "--size") == 0) {
            options.gateways_per_zone = value;
        } else if (std::strcmp(argv[i], "--logs") == 0) {
            options.log_directory = argv[i + 1];
        }
    }
    if (options.seed == 0 || duration_s == 0 || options.gateways_per_zone == 0) {
        std::cerr << usage;
        return 2;
    }
    options.duration = citronseam::seconds(duration_s);
    citronseam::soak::soak_run run(options);
    const bool is_kept = run.run();
    std::cout << "seed " << options.seed << ", " << duration_s
              << " s: " << (is_kept ? "all promises kept" : "FAILED") << "\n";
    return is_kept ? 0 : 1;
}
