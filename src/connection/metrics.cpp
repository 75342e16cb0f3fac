#include "citronseam/process/metrics.h"

#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace citronseam {
namespace {

/// Upper bounds of the latency buckets, in seconds.
const prometheus::Histogram::BucketBoundaries latency_buckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300};

} // namespace

struct metrics::families {
    std::mutex mutex;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
};

metrics::metrics()
    : registry_(std::make_shared<prometheus::Registry>()), families_(std::make_unique<families>()) {
}

metrics::~metrics() = default;

void metrics::count(const std::string& name, const metric_labels& labels, double amount) {
    const std::lock_guard<std::mutex> lock(families_->mutex);
    auto*& family = families_->counters[name];
    if (family == nullptr) {
        family = &prometheus::BuildCounter().Name(name).Register(*registry_);
    }
    family->Add(labels).Increment(amount);
}

void metrics::set(const std::string& name, const metric_labels& labels, double value) {
    const std::lock_guard<std::mutex> lock(families_->mutex);
    auto*& family = families_->gauges[name];
    if (family == nullptr) {
        family = &prometheus::BuildGauge().Name(name).Register(*registry_);
    }
    family->Add(labels).Set(value);
}

void metrics::observe(const std::string& name, const metric_labels& labels, double seconds) {
    const std::lock_guard<std::mutex> lock(families_->mutex);
    auto*& family = families_->histograms[name];
    if (family == nullptr) {
        family = &prometheus::BuildHistogram().Name(name).Register(*registry_);
    }
    family->Add(labels, latency_buckets).Observe(seconds);
}

std::string metrics::text() const {
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace citronseam
