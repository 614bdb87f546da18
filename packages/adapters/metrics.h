#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace figspoke::adapters {

using metric_labels = std::map<std::string, std::string>;

/// The process's metrics. Safe for concurrent use.
class metrics {
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds to a counter. `name` is one of the names that docs/operators.md lists.
    void add(const std::string& name, const metric_labels& labels, double amount = 1);

    /// Sets a gauge.
    void set(const std::string& name, const metric_labels& labels, double value);

    /// Records a time in a histogram, in seconds.
    void observe(const std::string& name, const metric_labels& labels, std::chrono::nanoseconds value);

    /// Renders all metrics in the Prometheus text format.
    std::string render() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace figspoke::adapters
