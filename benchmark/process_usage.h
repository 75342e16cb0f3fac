/// @file
/// What a process has used, as the operating system counts it.
#ifndef CITRONSEAM_BENCHMARK_PROCESS_USAGE_H
#define CITRONSEAM_BENCHMARK_PROCESS_USAGE_H

namespace citronseam::measurement {

/// What one process used since its start.
struct usage {
    double processor_s{0};
    double memory_mib{0}; ///< resident now
    double wake_ups{0};   ///< voluntary switches of all its threads
};

/// @param pid process number
usage read_usage(int pid);

} // namespace citronseam::measurement

#endif
