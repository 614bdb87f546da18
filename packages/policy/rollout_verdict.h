#pragma once

#include <string_view>

#include "policy/version_counts.h"

namespace figspoke::policy {

/// Whether a version under roll-out is as good as the version that it replaces.
enum class rollout_verdict { unknown, good, bad };

/// Parameters of a sequential likelihood ratio test on the failure rate and of a comparison of the latency.
struct rollout_verdict_settings {
    /// Log likelihood ratio from which a version is bad. At 5, about one good version in 150 is stopped.
    double threshold = 5;
    /// Smallest increase of the failure rate over the old version that must be detected.
    double failure_rate_increase = 0.2;
    /// Lower bound on the failure rate that is assumed for the old version: a good version has failures too.
    double min_failure_rate = 0.02;
    /// Ratio to the old version's mean time to the first byte from which a version is bad.
    double max_slowdown = 2.5;
    /// Number of good answers of each version that the comparison of mean times needs.
    double min_timed_answers = 12;
    /// Number of answers from which a version with a negative log likelihood ratio is good.
    double min_answers_for_good = 30;
    /// Cumulative sum of the log likelihood ratio from which a version has turned bad. It is above
    /// `threshold`, since the sum starts anew with each run of failures of a good version.
    double trend_threshold = 10;
};

/// Detects that a version turns bad after it was good, for example once it gets the whole load. In the total
/// of the roll-out its earlier good answers would outweigh the failures for long.
struct failure_trend {
    /// Counts at the last update.
    version_counts seen;
    /// Log likelihood ratio of the answers since it was last negative.
    double sum = 0;
};

/// Adds the answers since the last update.
void update_trend(failure_trend& trend, const version_counts& target, const version_counts& old,
                  const rollout_verdict_settings& settings);

struct rollout_evaluation {
    rollout_verdict verdict = rollout_verdict::unknown;
    /// Log likelihood ratio of bad against good, from the failures.
    double log_likelihood_ratio = 0;
    /// Mean time to the first byte relative to the old version.
    double slowdown = 1;
};

/// Compares two versions by their counts in the whole fleet since the start of the roll-out and by the trend
/// of the target's failures.
rollout_evaluation evaluate_version(const version_counts& target, const version_counts& old,
                                    const rollout_verdict_settings& settings,
                                    const failure_trend& trend = {});

std::string_view to_string(rollout_verdict value);

} // namespace figspoke::policy
