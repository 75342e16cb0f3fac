// Runs the measurements that the command line names.
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "measurements.h"

int main(int argc, char** argv) {
    using namespace citronseam::measurement;
    const std::map<std::string, std::function<void()>> all{
        {"entry", measure_entry},
        {"zone", measure_zone},
        {"overload", measure_overload},
        {"rollout", [] { measure_rollout(64); }},
        {"rollout-peers", measure_rollout_peers},
        {"rollout-load", measure_rollout_load},
        {"capacity", measure_capacity},
        {"platform", measure_platform},
    };
    for (int i = 1; i < argc; ++i) {
        const auto found = all.find(argv[i]);
        if (found == all.end()) {
            std::cerr << "unknown measurement " << argv[i] << "; there are:";
            for (const auto& [name, run] : all) {
                std::cerr << " " << name;
            }
            std::cerr << "\n";
            return 2;
        }
        found->second();
    }
    return 0;
}
