/// @file
/// Measurements through real processes on loopback. Each prints a table in Markdown.
#ifndef CITRONSEAM_BENCHMARK_MEASUREMENTS_H
#define CITRONSEAM_BENCHMARK_MEASUREMENTS_H

namespace citronseam::measurement {

/// One entry under the two-year peak, against the stand-ins called directly.
void measure_entry();
/// An availability zone leaves and returns under steady load, against round robin.
void measure_zone();
/// Twice the load that the servers bear.
void measure_overload();
/// Time to N whole replicas and origin bytes, against drawing everything from the origin.
/// @param largest largest N
void measure_rollout(int largest);
/// The larger sizes again, without the baseline, to compare two versions.
void measure_rollout_peers();
/// Live requests while a version spreads, against the same load without.
void measure_rollout_load();
/// Slopes for docs/CAPACITY.md: processor time, memory and bytes of control by size.
void measure_capacity();
/// Processor time, wake-ups and memory of gateways and sidecars, idle and under streams.
void measure_platform();

} // namespace citronseam::measurement

#endif
