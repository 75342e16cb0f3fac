/// @file
/// Measurements of real processes on loopback. Each prints a Markdown table.
#ifndef CITRONSEAM_BENCHMARK_MEASUREMENTS_H
#define CITRONSEAM_BENCHMARK_MEASUREMENTS_H

namespace citronseam::measurement {

/// One entry under the load peak expected in two years, compared with direct calls to the backend
/// servers.
void measure_entry();
/// An availability zone leaves and returns under steady load, compared with round robin.
void measure_zone();
/// Load at twice the capacity of the servers.
void measure_overload();
/// Time until N agents hold the complete weights, and bytes read from the origin, compared with
/// downloading everything from the origin.
/// @param largest largest N
void measure_rollout(int largest);
/// The larger sizes without the baseline, to compare two versions of citronseam.
void measure_peer_rollout();
/// Request latency during a rollout, compared with the same load without a rollout.
void measure_load_during_rollout();
/// Data for docs/CAPACITY.md: CPU time, memory and control traffic by size of the deployment.
void measure_capacity();
/// CPU time, wake-ups and memory of gateways and sidecars, idle and while streaming.
void measure_platform();
/// Processor time of a gateway for each request that it refuses or serves.
void measure_refusals();

} // namespace citronseam::measurement

#endif
