// Runs the measurements named on the command line.
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "measurements.h"

int main(int argc, char** argv) {
    using namespace citronseam::measurement;
    const std::map<std::string, std::function<void()>> measurements{
        {"entry", measure_entry},
        {"zone", measure_zone},
        {"overload", measure_overload},
        {"rollout", [] { measure_rollout(64); }},
        {"rollout-peers", measure_peer_rollout},
        {"rollout-load", measure_load_during_rollout},
        {"capacity", measure_capacity},
        {"platform", measure_platform},
        {"refusals", measure_refusals},
    };
    for (int i = 1; i < argc; ++i) {
        const auto found = measurements.find(argv[i]);
        if (found == measurements.end()) {
            std::cerr << "unknown measurement " << argv[i] << "; known are:";
            for (const auto& [name, run] : measurements) {
                std::cerr << " " << name;
            }
            std::cerr << "\n";
            return 2;
        }
        found->second();
    }
    return 0;
}
