#include "policy/upstream_speed.h"

#include <algorithm>
#include <cmath>

#include "core/erase_where.h"

namespace figspoke::policy {
namespace {

// Equal upstreams differ by this much in a few noisy samples. To follow such differences would send prompts
// away from the upstreams that have their prefixes cached.
constexpr double least_difference = 1.35;

// Returns 1 for a relative time that may come from noise.
double significant(double relative) {
    return relative < least_difference && relative > 1 / least_difference ? 1.0 : relative;
}

} // namespace

void learn_speed(speed_table& table, const speed_settings& settings, const std::string& upstream,
                 const speed_sample& sample, core::steady_time now) {
    if (!std::isfinite(sample.value) || sample.value <= 0) {
        return;
    }
    const bool known = table.upstreams.count(upstream) > 0;
    if (!known && table.upstreams.size() >= settings.max_upstreams) {
        return;
    }
    auto& estimate = table.upstreams[upstream].at(static_cast<std::size_t>(sample.measure));
    if (estimate.samples == 0) {
        estimate.value = sample.value;
    }
    // In logarithms, so that a single late answer among many weighs no more than an early one.
    const double weight =
        sample.value < estimate.value ? settings.low_sample_weight : settings.high_sample_weight;
    estimate.value *= std::pow(sample.value / estimate.value, weight);
    estimate.samples = std::min(estimate.samples + 1, settings.min_samples);
    estimate.at = now;
}

std::optional<known_speed> find_speed(const speed_table& table, const speed_settings& settings,
                                      const std::string& upstream, speed_measure measure,
                                      core::steady_time now) {
    const auto found = table.upstreams.find(upstream);
    if (found == table.upstreams.end()) {
        return std::nullopt;
    }
    const auto& estimate = found->second.at(static_cast<std::size_t>(measure));
    const auto age = core::to_ms(now - estimate.at);
    if (estimate.samples < settings.min_samples || age > settings.lifetime) {
        return std::nullopt;
    }
    return known_speed{estimate.value, age};
}

std::vector<double> relative_times(const std::vector<std::optional<known_speed>>& speeds,
                                   const speed_settings& settings) {
    double sum = 0;
    int known = 0;
    for (const auto& speed : speeds) {
        if (speed) {
            sum += speed->value;
            ++known;
        }
    }
    std::vector<double> times(speeds.size(), 1.0);
    // A single estimate has nothing to be compared with.
    if (known < 2 || sum <= 0) {
        return times;
    }
    const double mean = sum / known;
    for (std::size_t i = 0; i < speeds.size(); ++i) {
        if (speeds[i]) {
            const double half_lives = core::to_seconds(speeds[i]->age) / core::to_seconds(settings.half_life);
            const double relative = std::clamp(significant(speeds[i]->value / mean), settings.min_relative,
                                               settings.max_relative);
            times[i] = 1 + (relative - 1) * std::exp2(-half_lives);
        }
    }
    return times;
}

void expire_speeds(speed_table& table, const speed_settings& settings, core::steady_time now) {
    core::erase_where(table.upstreams, [&](const auto& estimates, const std::string&) {
        return std::all_of(estimates.begin(), estimates.end(), [&](const speed_table::estimate& estimate) {
            return now - estimate.at > settings.lifetime;
        });
    });
}

} // namespace figspoke::policy
