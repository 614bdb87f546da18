#include "performance/routing/true_quality.h"

#include <cmath>

#include "performance/routing/workload.h"

namespace figspoke::trials {
namespace {

// Mean over the standard normal difficulty by the midpoint rule on [-4, 4].
policy::quality_estimate integrate(const true_quality::key& key, std::uint64_t seed) {
    const auto& [task, version, escalate_to, bucket] = key;
    const auto& kind = task_kinds().at(task);
    const double at_s = 30.0 * bucket;
    policy::quality_estimate value;
    double weights = 0;
    for (int i = 0; i < 40; ++i) {
        const double difficulty = -4 + 0.2 * (i + 0.5);
        const double weight = std::exp(-0.5 * difficulty * difficulty);
        const double first = true_pass(seed, task, version, at_s, difficulty);
        weights += weight;
        if (escalate_to.empty()) {
            value.mean += weight * first;
            continue;
        }
        const double flagged = first * kind.check_false_alarm + (1 - first) * kind.check_detects;
        const double second = true_pass(seed, task, escalate_to, at_s, difficulty);
        value.escalated += weight * flagged;
        value.mean += weight * (first * (1 - kind.check_false_alarm) + flagged * second);
    }
    value.mean /= weights;
    value.escalated /= weights;
    value.lower_bound = value.mean;
    return value;
}

} // namespace

policy::quality_estimate true_quality_of(true_quality& cache, std::size_t task, const std::string& version,
                                         const std::string& escalate_to, double at_s) {
    const true_quality::key key{task, version, escalate_to, static_cast<int>(at_s / 30)};
    const auto found = cache.known.find(key);
    if (found != cache.known.end()) {
        return found->second;
    }
    return cache.known.emplace(key, integrate(key, cache.seed)).first->second;
}

} // namespace figspoke::trials
