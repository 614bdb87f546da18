#include "policy/run_time.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

constexpr double sample_weight = 0.1;
// Sizes are rough, and a part of each run doesn't depend on them.
constexpr double min_size_ratio = 0.5;
constexpr double max_size_ratio = 4;

} // namespace

void learn_run(run_times& times, const std::string& route, core::milliseconds run, double size) {
    const run_time sample{double(run.count()), size};
    auto& mean = times.routes.emplace(route, sample).first->second;
    mean.ms += sample_weight * (sample.ms - mean.ms);
    mean.size += sample_weight * (sample.size - mean.size);
}

core::milliseconds expected_run(const run_times& times, const std::string& route, double size) {
    const auto found = times.routes.find(route);
    if (found == times.routes.end()) {
        return core::milliseconds(0);
    }
    const double ratio =
        found->second.size > 0 ? std::clamp(size / found->second.size, min_size_ratio, max_size_ratio) : 1.0;
    return core::milliseconds(std::int64_t(found->second.ms * ratio));
}

} // namespace figspoke::policy
