#pragma once

#include <string>

#include "core/config.h"
#include "policy/quality_evidence.h"

namespace figspoke::policy {

struct quality_settings {
    /// The number of ratings that the table's prior pass rate counts for.
    double prior_strength = 4;
    /// The lower estimate is the mean less this many standard deviations. At 1.0 the dearest version serves
    /// whatever is not well known yet; at 0 nothing keeps the mean quality over the target while ratings are
    /// few.
    double caution = 0.1;
    /// Priors of the answer check: the share of failed and of passed answers that it flags.
    double check_detects = 0.6;
    double check_false_alarm = 0.05;
    /// Prior of an escalated answer's pass rate, as a share of the direct one.
    double escalated_share = 0.9;
    /// Most ratings that the flagged share of unrated answers may count for. It is indirect evidence: it
    /// assumes that the check works alike for all versions, and real ratings must outweigh it.
    double max_check_ratings = 50;
};

/// The pass rate of a plan: its mean, standard deviation and cautious estimate.
struct quality_estimate {
    double mean = 0;
    double deviation = 0;
    double low = 0;
    /// Decayed number of ratings behind the estimate.
    double ratings = 0;
    /// Whether recent ratings differ from the long-term ones by more than chance explains.
    bool drifting = false;
    /// Share of requests that are escalated; 0 for a direct answer.
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
