#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// What a measured time of an upstream says: how fast it reads prompts (for plain services, how fast it
/// answers), or how fast it generates.
enum class speed_measure { prefill, generation };
inline constexpr int speed_measure_count = 2;

struct speed_settings {
    /// Weights of samples below and above the estimate. Queues and evicted prefixes only ever delay an
    /// answer, so that a low sample says more of the upstream's own speed.
    double low_sample_weight = 0.2;
    double high_sample_weight = 0.05;
    int min_samples = 4;
    /// Bounds of a relative time. One estimate must neither exclude an upstream nor draw all requests to it.
    double min_relative = 0.5;
    double max_relative = 2.5;
    /// Age of the last sample at which an estimate counts half, and at which it is dropped.
    core::seconds half_life{30};
    core::seconds lifetime{120};
    std::size_t max_upstreams = 2000;
    /// Stated work factor from which an answer says more of its moment than of its upstream.
    double max_work_factor = 1.3;
};

/// Learned times of upstreams that share a service but not a speed. Only times of the same service and
/// measure are comparable. Bounded by the number of upstreams.
struct speed_table {
    struct estimate {
        /// A low quantile of the samples.
        double value = 0;
        int samples = 0;
        core::steady_time at{};
    };
    std::map<std::string, std::array<estimate, speed_measure_count>> upstreams;
};

/// A time per unit of work on an upstream. The unit is that of its service and measure.
struct speed_sample {
    speed_measure measure = speed_measure::prefill;
    double value = 0;
};

/// An estimate and the age of its last sample.
struct known_speed {
    double value = 0;
    core::milliseconds age{0};
};

/// Records a sample. Values that aren't positive and finite are ignored.
void learn_speed(speed_table& table, const speed_settings& settings, const std::string& upstream,
                 const speed_sample& sample, core::steady_time now);

/// Returns the estimate of an upstream; empty while it has too few samples or once it has expired.
std::optional<known_speed> find_speed(const speed_table& table, const speed_settings& settings,
                                      const std::string& upstream, speed_measure measure,
                                      core::steady_time now);

/// Returns for each upstream of a service how long work takes there relative to their mean. Upstreams without
/// an estimate count as usual, which is 1.
std::vector<double> relative_times(const std::vector<std::optional<known_speed>>& speeds,
                                   const speed_settings& settings);

/// Removes estimates whose lifetime has ended.
void expire_speeds(speed_table& table, const speed_settings& settings, core::steady_time now);

} // namespace figspoke::policy
