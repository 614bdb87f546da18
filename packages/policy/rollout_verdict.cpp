#include "policy/rollout_verdict.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

double failure_rate(const version_counts& counts, const rollout_verdict_settings& settings) {
    const double ended = double(counts.good + counts.bad);
    const double rate = ended > 0 ? double(counts.bad) / ended : 0;
    return std::clamp(rate, settings.min_failure_rate, 1 - settings.failure_rate_increase - 0.01);
}

double log_likelihood_ratio(const version_counts& target, const version_counts& old,
                            const rollout_verdict_settings& settings) {
    const double good = failure_rate(old, settings);
    const double bad = good + settings.failure_rate_increase;
    return double(target.bad) * std::log(bad / good) + double(target.good) * std::log((1 - bad) / (1 - good));
}

double mean_first_byte(const version_counts& counts) {
    return counts.good > 0 ? double(counts.first_byte_ms) / double(counts.good) : 0;
}

double slowdown_of(const version_counts& target, const version_counts& old,
                   const rollout_verdict_settings& settings) {
    const bool timed =
        double(target.good) >= settings.min_timed_answers && double(old.good) >= settings.min_timed_answers;
    const double baseline = mean_first_byte(old);
    return timed && baseline > 0 ? mean_first_byte(target) / baseline : 1;
}

} // namespace

void update_trend(failure_trend& trend, const version_counts& target, const version_counts& old,
                  const rollout_verdict_settings& settings) {
    const auto more = [](std::uint64_t now, std::uint64_t before) { return now > before ? now - before : 0; };
    version_counts latest;
    latest.good = more(target.good, trend.seen.good);
    latest.bad = more(target.bad, trend.seen.bad);
    trend.sum = std::max(trend.sum + log_likelihood_ratio(latest, old, settings), 0.0);
    trend.seen = target;
}

rollout_evaluation evaluate_version(const version_counts& target, const version_counts& old,
                                    const rollout_verdict_settings& settings, const failure_trend& trend) {
    rollout_evaluation evaluation;
    evaluation.log_likelihood_ratio = log_likelihood_ratio(target, old, settings);
    evaluation.slowdown = slowdown_of(target, old, settings);
    if (evaluation.log_likelihood_ratio >= settings.threshold || trend.sum >= settings.trend_threshold ||
        evaluation.slowdown >= settings.max_slowdown) {
        evaluation.verdict = rollout_verdict::bad;
    } else if (double(target.good + target.bad) >= settings.min_answers_for_good &&
               evaluation.log_likelihood_ratio < 0) {
        evaluation.verdict = rollout_verdict::good;
    }
    return evaluation;
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
