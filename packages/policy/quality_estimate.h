#pragma once

#include <string>

#include "core/config.h"
#include "policy/quality_evidence.h"

namespace figspoke::policy {

struct quality_settings {
    /// Number of ratings that the prior pass rate from the table counts for.
    double prior_strength = 4;
    /// Standard deviations between the mean and its lower bound. At 1.0 the most expensive version serves
    /// every task kind that has few ratings; at 0 nothing keeps the mean quality above the target while
    /// ratings are few.
    double bound_deviations = 0.1;
    /// Priors for the shares of failed and of passed answers that the answer check flags.
    double check_detection_rate = 0.6;
    double check_false_alarm_rate = 0.05;
    /// Prior for the pass rate of escalated answers, relative to that of direct answers.
    double escalated_pass_ratio = 0.9;
    /// Largest number of ratings that the checks of unrated answers may count for. They are indirect
    /// evidence: they assume that the check is equally accurate for all versions, and real ratings must
    /// outweigh them.
    double max_check_ratings = 50;
};

/// Pass rate of a plan.
struct quality_estimate {
    double mean = 0;
    double standard_deviation = 0;
    /// Mean minus `quality_settings::bound_deviations` standard deviations; compared with the target.
    double lower_bound = 0;
    /// Decayed number of ratings that the estimate is based on.
    double ratings = 0;
    /// Whether the recent pass rate differs significantly from the older one.
    bool drifting = false;
    /// Expected share of requests that are escalated; 0 for a direct plan.
    double escalated = 0;
};

/// Estimates the pass rate of a version's direct answers to one kind of task.
quality_estimate estimate_direct(const quality_evidence& evidence, const quality_settings& settings,
                                 const std::string& task, const core::model_version& version,
                                 core::steady_time now);

/// Estimates the pass rate of a cascade that runs `first` and escalates flagged answers to `second`.
quality_estimate estimate_cascade(const quality_evidence& evidence, const quality_settings& settings,
                                  const std::string& task, const core::model_version& first,
                                  const core::model_version& second, core::steady_time now);

} // namespace figspoke::policy
