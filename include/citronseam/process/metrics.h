/// @file
/// Counters, gauges and histograms of one process, in the Prometheus text format.
#ifndef CITRONSEAM_PROCESS_METRICS_H
#define CITRONSEAM_PROCESS_METRICS_H

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace citronseam {

/// Labels of one time series.
using metric_labels = std::map<std::string, std::string>;

/// The metrics of one process. All functions may be called from any thread.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds to a counter.
    /// @param name   name of the metric family, `citronseam_..._total`
    /// @param labels labels of the series
    /// @param amount increment
    void count(const std::string& name, const metric_labels& labels = {}, double amount = 1);

    /// Sets a gauge.
    void set(const std::string& name, const metric_labels& labels, double value);

    /// Adds a latency in seconds to a histogram.
    void observe(const std::string& name, const metric_labels& labels, double seconds);

    /// @return all time series in the Prometheus text format
    std::string text() const;

private:
    struct families;
    std::shared_ptr<prometheus::Registry> registry_;
    std::unique_ptr<families> families_;
};

} // namespace citronseam

#endif
