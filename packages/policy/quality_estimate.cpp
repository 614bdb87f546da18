#include "policy/quality_estimate.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

// Standard deviations between recent and older ratings that count as drift; 3 keeps false alarms rare.
constexpr double drift_deviations = 3;
constexpr double min_drift_ratings = 5;

// A check whose detection and false alarm rates are closer than this hardly tells good answers from bad ones
// and says nothing about the pass rate.
constexpr double min_rate_difference = 0.2;

// Beta distribution of a rate.
struct beta_distribution {
    double alpha = 0;
    double beta = 0;
};

beta_distribution posterior(double prior_mean, double strength, double hits, double misses) {
    // The margin of 0.01 keeps a table entry of exactly 0 or 1 from becoming a certainty.
    const double mean = std::clamp(prior_mean, 0.01, 0.99);
    return {mean * strength + hits, (1 - mean) * strength + misses};
}

double mean_of(const beta_distribution& value) {
    return value.alpha / (value.alpha + value.beta);
}

double variance_of(const beta_distribution& value) {
    const double mean = mean_of(value);
    return mean * (1 - mean) / (value.alpha + value.beta + 1);
}

double passed(const rating_counts& counts) {
    return counts.accepted_passed + counts.flagged_passed;
}

double failed(const rating_counts& counts) {
    return counts.accepted_failed + counts.flagged_failed;
}

// Compares recent ratings with older ones. The older rate excludes the recent ratings: counted on both sides,
// they would hide the difference.
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

// Derives the pass rate p of all answers from their flagged share q and the rates of the check:
// q = p * false_alarm + (1 - p) * detection. Returns it as the number of ratings that has the same variance.
beta_distribution ratings_from_checks(const rating_counts& counts, const rating_counts& task_counts,
                                      const quality_settings& settings) {
    const auto detection = posterior(settings.check_detection_rate, settings.prior_strength,
                                     task_counts.flagged_failed, task_counts.accepted_failed);
    const auto false_alarm = posterior(settings.check_false_alarm_rate, settings.prior_strength,
                                       task_counts.flagged_passed, task_counts.accepted_passed);
    const double rate_difference = mean_of(detection) - mean_of(false_alarm);
    if (counts.checked < 1 || rate_difference < min_rate_difference) {
        return {};
    }
    const double flagged = std::clamp(counts.checked_flagged / counts.checked, 0.01, 0.99);
    const double pass = std::clamp((mean_of(detection) - flagged) / rate_difference, 0.02, 0.98);
    const double variance =
        (flagged * (1 - flagged) / counts.checked + (1 - pass) * (1 - pass) * variance_of(detection) +
         pass * pass * variance_of(false_alarm)) /
        (rate_difference * rate_difference);
    const double ratings = std::min(settings.max_check_ratings, pass * (1 - pass) / variance);
    return {pass * ratings, (1 - pass) * ratings};
}

quality_estimate with_bound(quality_estimate value, const quality_settings& settings) {
    value.lower_bound =
        std::clamp(value.mean - settings.bound_deviations * value.standard_deviation, 0.0, 1.0);
    return value;
}

// First step of a cascade: its pass rate, and the flagged shares of its failed and of its passed answers.
struct first_step {
    beta_distribution pass;
    beta_distribution detection;
    beta_distribution false_alarm;
};

// Posterior of a version's pass rate from its ratings and from the checks of its unrated answers.
beta_distribution pass_posterior(const rating_counts& counts, const rating_counts& task_counts,
                                 const quality_settings& settings, const core::model_version& version) {
    const auto checks = ratings_from_checks(counts, task_counts, settings);
    return posterior(version.quality, settings.prior_strength, passed(counts) + checks.alpha,
                     failed(counts) + checks.beta);
}

first_step first_step_of(const rating_counts& counts, const rating_counts& task_counts,
                         const quality_settings& settings, const core::model_version& version) {
    const double strength = settings.prior_strength;
    return {
        pass_posterior(counts, task_counts, settings, version),
        posterior(settings.check_detection_rate, strength, counts.flagged_failed, counts.accepted_failed),
        posterior(settings.check_false_alarm_rate, strength, counts.flagged_passed, counts.accepted_passed)};
}

// First-order error propagation; no covariances, since the four rates are estimated from disjoint counts.
double cascade_variance(const first_step& step, const beta_distribution& escalated, double flagged) {
    const double p = mean_of(step.pass);
    const double d = mean_of(step.detection);
    const double f = mean_of(step.false_alarm);
    const double e = mean_of(escalated);
    const double pass_derivative = (1 - f) + (f - d) * e;
    const double detection_derivative = (1 - p) * e;
    const double false_alarm_derivative = p * (e - 1);
    return pass_derivative * pass_derivative * variance_of(step.pass) +
           detection_derivative * detection_derivative * variance_of(step.detection) +
           false_alarm_derivative * false_alarm_derivative * variance_of(step.false_alarm) +
           flagged * flagged * variance_of(escalated);
}

} // namespace

quality_estimate estimate_direct(const quality_evidence& evidence, const quality_settings& settings,
                                 const std::string& task, const core::model_version& version,
                                 core::steady_time now) {
    const auto cell = summed_counts(evidence, {task, version.id, ""}, now);
    const auto task_counts = summed_counts(evidence, check_key(task), now);
    const auto pass = pass_posterior(cell.slow, task_counts.slow, settings, version);
    quality_estimate value;
    value.mean = mean_of(pass);
    value.standard_deviation = std::sqrt(variance_of(pass));
    value.ratings = passed(cell.slow) + failed(cell.slow);
    value.drifting = is_drifting(cell);
    return with_bound(value, settings);
}

quality_estimate estimate_cascade(const quality_evidence& evidence, const quality_settings& settings,
                                  const std::string& task, const core::model_version& first,
                                  const core::model_version& second, core::steady_time now) {
    const auto first_cell = summed_counts(evidence, {task, first.id, ""}, now);
    const auto second_cell = summed_counts(evidence, {task, second.id, first.id}, now);
    const auto direct = estimate_direct(evidence, settings, task, second, now);
    const auto task_counts = summed_counts(evidence, check_key(task), now);
    const auto step = first_step_of(first_cell.slow, task_counts.slow, settings, first);
    const auto escalated = posterior(direct.mean * settings.escalated_pass_ratio, settings.prior_strength,
                                     passed(second_cell.slow), failed(second_cell.slow));
    const double p = mean_of(step.pass);
    quality_estimate value;
    value.escalated = p * mean_of(step.false_alarm) + (1 - p) * mean_of(step.detection);
    value.mean = p * (1 - mean_of(step.false_alarm)) + value.escalated * mean_of(escalated);
    value.standard_deviation = std::sqrt(cascade_variance(step, escalated, value.escalated));
    value.ratings = passed(first_cell.slow) + failed(first_cell.slow);
    value.drifting = is_drifting(first_cell) || is_drifting(second_cell) || direct.drifting;
    return with_bound(value, settings);
}

} // namespace figspoke::policy
