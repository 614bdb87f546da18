#pragma once

#include <string_view>

#include "policy/version_counts.h"

namespace figspoke::policy {

/// What the counts of a version under roll-out say beside those of the version that it replaces.
enum class rollout_verdict { unknown, good, bad };

struct rollout_verdict_settings {
    /// Log likelihood ratio at which a version is bad: one good version in about 150 is stopped wrongly.
    double threshold = 5;
    /// By how much a bad version fails more often than the old one; the smallest share that must be found.
    double worse_by = 0.2;
    /// Failure rate assumed of the old version at least, since even a good one fails now and then.
    double least_rate = 0.02;
    /// A version whose mean time to the first byte is this many times that of the old one is bad.
    double slower_by = 2.5;
    /// Answers that a judgement on the mean time needs.
    double least_timed = 12;
    /// Answers without a finding after which a version counts as good.
    double enough = 30;
};

struct rollout_judgement {
    rollout_verdict verdict = rollout_verdict::unknown;
    /// Log likelihood ratio of bad against good, by failures.
    double ratio = 0;
    /// Mean time to the first byte relative to the old version.
    double slowdown = 1;
};

/// Judges a version by fleet-wide counts since its roll-out began.
rollout_judgement judge_version(const version_counts& target, const version_counts& old,
                                const rollout_verdict_settings& settings);

std::string_view to_string(rollout_verdict value);

} // namespace figspoke::policy
