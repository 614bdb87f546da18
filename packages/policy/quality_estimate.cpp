#include "policy/quality_estimate.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

// Deviations between the short and the long memory that count as drift; 3 keeps chance alarms rare.
constexpr double drift_deviations = 3;
constexpr double min_drift_ratings = 5;

// A check that hardly tells good answers from bad ones says nothing about the pass rate.
constexpr double min_check_gap = 0.2;

struct beta {
    double hits = 0;
    double misses = 0;
};

beta posterior(double prior_mean, double strength, double hits, double misses) {
    // Bounds of 0.01 keep a table entry of exactly 0 or 1 from becoming certainty.
    const double mean = std::clamp(prior_mean, 0.01, 0.99);
    return {mean * strength + hits, (1 - mean) * strength + misses};
}

double mean_of(const beta& value) {
    return value.hits / (value.hits + value.misses);
}

double variance_of(const beta& value) {
    const double mean = mean_of(value);
    return mean * (1 - mean) / (value.hits + value.misses + 1);
}

double passed(const rating_counts& counts) {
    return counts.accepted_passed + counts.flagged_passed;
}

double failed(const rating_counts& counts) {
    return counts.accepted_failed + counts.flagged_failed;
}

// The long-term rate leaves the recent ratings out: counted on both sides, they would hide the difference.
bool is_drifting(const rating_cell& cell) {
    const double recent = passed(cell.fast) + failed(cell.fast);
    const double older = passed(cell.slow) + failed(cell.slow) - recent;
    if (recent < min_drift_ratings || older < min_drift_ratings) {
        return false;
    }
    const double older_rate = std::clamp((passed(cell.slow) - passed(cell.fast)) / older, 0.05, 0.95);
    const double deviation = std::sqrt(older_rate * (1 - older_rate) * (1 / recent + 1 / older));
    return std::abs(passed(cell.fast) / recent - older_rate) > drift_deviations * deviation;
}

// The flagged share q of all answers tells their pass rate p where the check's rates are known:
// q = p * false_alarm + (1 - p) * detects. Returns it as a number of ratings of the same variance.
beta ratings_from_checks(const rating_counts& counts, const rating_counts& of_task,
                         const quality_settings& settings) {
    const auto detects = posterior(settings.check_detects, settings.prior_strength, of_task.flagged_failed,
                                   of_task.accepted_failed);
    const auto false_alarm = posterior(settings.check_false_alarm, settings.prior_strength,
                                       of_task.flagged_passed, of_task.accepted_passed);
    const double gap = mean_of(detects) - mean_of(false_alarm);
    if (counts.checked < 1 || gap < min_check_gap) {
        return {};
    }
    const double flagged = std::clamp(counts.checked_flagged / counts.checked, 0.01, 0.99);
    const double pass = std::clamp((mean_of(detects) - flagged) / gap, 0.02, 0.98);
    const double variance =
        (flagged * (1 - flagged) / counts.checked + (1 - pass) * (1 - pass) * variance_of(detects) +
         pass * pass * variance_of(false_alarm)) /
        (gap * gap);
    const double ratings = std::min(settings.max_check_ratings, pass * (1 - pass) / variance);
    return {pass * ratings, (1 - pass) * ratings};
}

quality_estimate with_low(quality_estimate value, const quality_settings& settings) {
    value.low = std::clamp(value.mean - settings.caution * value.deviation, 0.0, 1.0);
    return value;
}

// Rates of the first step of a cascade: pass rate, and flagged share of failed and of passed answers.
struct first_step {
    beta pass;
    beta detects;
    beta false_alarm;
};

// Posterior of a version's pass rate from its ratings and from the checks of its unrated answers.
beta pass_posterior(const rating_counts& counts, const rating_counts& of_task,
                    const quality_settings& settings, const core::model_version& version) {
    const auto checks = ratings_from_checks(counts, of_task, settings);
    return posterior(version.quality, settings.prior_strength, passed(counts) + checks.hits,
                     failed(counts) + checks.misses);
}

first_step first_step_of(const rating_counts& counts, const rating_counts& of_task,
                         const quality_settings& settings, const core::model_version& version) {
    const double strength = settings.prior_strength;
    return {pass_posterior(counts, of_task, settings, version),
            posterior(settings.check_detects, strength, counts.flagged_failed, counts.accepted_failed),
            posterior(settings.check_false_alarm, strength, counts.flagged_passed, counts.accepted_passed)};
}

// First-order error propagation: the four rates are estimated from disjoint counts.
double cascade_variance(const first_step& step, const beta& escalated, double flagged) {
    const double p = mean_of(step.pass);
    const double d = mean_of(step.detects);
    const double f = mean_of(step.false_alarm);
    const double e = mean_of(escalated);
    const double by_pass = (1 - f) + (f - d) * e;
    const double by_detects = (1 - p) * e;
    const double by_false_alarm = p * (e - 1);
    return by_pass * by_pass * variance_of(step.pass) + by_detects * by_detects * variance_of(step.detects) +
           by_false_alarm * by_false_alarm * variance_of(step.false_alarm) +
           flagged * flagged * variance_of(escalated);
}

} // namespace

quality_estimate estimate_direct(const quality_evidence& evidence, const quality_settings& settings,
                                 const std::string& task, const core::model_version& version,
                                 core::steady_time now) {
    const auto cell = summed_counts(evidence, {task, version.id, ""}, now);
    const auto of_task = summed_counts(evidence, check_key(task), now);
    const auto pass = pass_posterior(cell.slow, of_task.slow, settings, version);
    quality_estimate value;
    value.mean = mean_of(pass);
    value.deviation = std::sqrt(variance_of(pass));
    value.ratings = passed(cell.slow) + failed(cell.slow);
    value.drifting = is_drifting(cell);
    return with_low(value, settings);
}

quality_estimate estimate_cascade(const quality_evidence& evidence, const quality_settings& settings,
                                  const std::string& task, const core::model_version& first,
                                  const core::model_version& second, core::steady_time now) {
    const auto first_cell = summed_counts(evidence, {task, first.id, ""}, now);
    const auto second_cell = summed_counts(evidence, {task, second.id, first.id}, now);
    const auto direct = estimate_direct(evidence, settings, task, second, now);
    const auto of_task = summed_counts(evidence, check_key(task), now);
    const auto step = first_step_of(first_cell.slow, of_task.slow, settings, first);
    const auto escalated = posterior(direct.mean * settings.escalated_share, settings.prior_strength,
                                     passed(second_cell.slow), failed(second_cell.slow));
    const double p = mean_of(step.pass);
    quality_estimate value;
    value.escalated = p * mean_of(step.false_alarm) + (1 - p) * mean_of(step.detects);
    value.mean = p * (1 - mean_of(step.false_alarm)) + value.escalated * mean_of(escalated);
    value.deviation = std::sqrt(cascade_variance(step, escalated, value.escalated));
    value.ratings = passed(first_cell.slow) + failed(first_cell.slow);
    value.drifting = is_drifting(first_cell) || is_drifting(second_cell) || direct.drifting;
    return with_low(value, settings);
}

} // namespace figspoke::policy
