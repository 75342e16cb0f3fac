/// @file
/// Resource usage of a process, as counted by the operating system.
#ifndef CITRONSEAM_BENCHMARK_PROCESS_USAGE_H
#define CITRONSEAM_BENCHMARK_PROCESS_USAGE_H

namespace citronseam::measurement {

/// Resources that a process has used since its start.
struct process_usage {
    double cpu_seconds{0};
    double memory_mib{0};                 ///< resident set size now
    double voluntary_context_switches{0}; ///< of all its threads
};

/// @param pid process ID
process_usage read_usage(int pid);
/// @param pid process ID
/// @return processor time of the threads that run now, to the nanosecond
double read_scheduled_seconds(int pid);

} // namespace citronseam::measurement

#endif
