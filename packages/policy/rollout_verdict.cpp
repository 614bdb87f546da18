#include "policy/rollout_verdict.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

double failure_rate(const version_counts& counts, const rollout_verdict_settings& settings) {
    const double ended = double(counts.good + counts.bad);
    const double rate = ended > 0 ? double(counts.bad) / ended : 0;
    return std::clamp(rate, settings.least_rate, 1 - settings.worse_by - 0.01);
}

double failure_ratio(const version_counts& target, const version_counts& old,
                     const rollout_verdict_settings& settings) {
    const double good = failure_rate(old, settings);
    const double bad = good + settings.worse_by;
    return double(target.bad) * std::log(bad / good) + double(target.good) * std::log((1 - bad) / (1 - good));
}

double mean_first_byte(const version_counts& counts) {
    return counts.good > 0 ? double(counts.first_byte_ms) / double(counts.good) : 0;
}

double slowdown_of(const version_counts& target, const version_counts& old,
                   const rollout_verdict_settings& settings) {
    const bool timed =
        double(target.good) >= settings.least_timed && double(old.good) >= settings.least_timed;
    const double base = mean_first_byte(old);
    return timed && base > 0 ? mean_first_byte(target) / base : 1;
}

} // namespace

rollout_judgement judge_version(const version_counts& target, const version_counts& old,
                                const rollout_verdict_settings& settings) {
    rollout_judgement judgement;
    judgement.ratio = failure_ratio(target, old, settings);
    judgement.slowdown = slowdown_of(target, old, settings);
    if (judgement.ratio >= settings.threshold || judgement.slowdown >= settings.slower_by) {
        judgement.verdict = rollout_verdict::bad;
    } else if (double(target.good + target.bad) >= settings.enough && judgement.ratio < 0) {
        judgement.verdict = rollout_verdict::good;
    }
    return judgement;
}

std::string_view to_string(rollout_verdict value) {
    switch (value) {
    case rollout_verdict::good:
        return "good";
    case rollout_verdict::bad:
        return "bad";
    case rollout_verdict::unknown:
        break;
    }
    return "unknown";
}

} // namespace figspoke::policy
