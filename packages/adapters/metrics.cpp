#include "adapters/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace figspoke::adapters {
namespace {

const prometheus::Histogram::BucketBoundaries time_buckets = {
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

} // namespace

struct metrics::state {
    prometheus::Registry registry;
};

metrics::metrics() : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::add(const std::string& name, const metric_labels& labels, double amount) {
    prometheus::BuildCounter().Name(name).Register(state_->registry).Add(labels).Increment(amount);
}

void metrics::set(const std::string& name, const metric_labels& labels, double value) {
    prometheus::BuildGauge().Name(name).Register(state_->registry).Add(labels).Set(value);
}

void metrics::observe(const std::string& name, const metric_labels& labels, std::chrono::nanoseconds value) {
    prometheus::BuildHistogram()
        .Name(name)
        .Register(state_->registry)
        .Add(labels, time_buckets)
        .Observe(std::chrono::duration<double>(value).count());
}

std::string metrics::render() const {
    return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

} // namespace figspoke::adapters
