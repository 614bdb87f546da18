#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/time.h"
#include "policy/version_evidence.h"

namespace figspoke::policy {

struct sequential_test_settings {
    /// Log-likelihood ratio at which a version is stopped. False stops within 2,000 requests: 6 of 200 good
    /// versions at a threshold of 10, 3 of 900 at 11.
    double threshold = 11;
    /// Increase of each rate over that of the stable version under the hypothesis that a version is bad.
    double failure_rate_increase = 0.25;
    double flag_rate_increase = 0.35;
    double failed_rating_increase = 0.4;
    /// Half-life of the stable version's recent rates, which keep an outage of all versions from counting
    /// against the new one.
    std::chrono::seconds recent_half_life{60};
};

/// One rate as decayed counts of hits and trials.
struct rate_counts {
    double hits = 0;
    double trials = 0;
};

/// The rates that the test compares.
struct outcome_rates {
    rate_counts failures;
    rate_counts flags;
    rate_counts failed_ratings;
};

/// Log-likelihood ratios of the bad against the good hypothesis in two tests: one of failures, and one of
/// answers by their checks and ratings.
struct log_likelihood_ratios {
    double failures = 0;
    double answers = 0;
};

/// State of the tests on one node. It is derived from the evidence and not exchanged between nodes.
struct sequential_test_state {
    /// Totals at the last update.
    std::map<evidence_key, outcome_counts> last_totals;
    /// Recent rates of each version and task kind.
    std::map<evidence_key, outcome_rates> recent;
    /// By version id; never below 0.
    std::map<std::string, log_likelihood_ratios> ratios;
    core::steady_time updated_at;
};

/// A version to be stopped, with the change of its table row and the reason.
struct version_stop {
    std::string version;
    std::string stable;
    /// Columns to be written to the version's row.
    std::map<std::string, std::string> columns;
    std::string reason;
    double ratio = 0;
};

/// Updates the tests with the evidence since the last call and returns the versions to be stopped: those that
/// the test finds worse than the stable version of their model.
std::vector<version_stop> update_sequential_test(sequential_test_state& state,
                                                 const sequential_test_settings& settings,
                                                 const core::config_snapshot& config,
                                                 const version_evidence& evidence, core::steady_time now);

} // namespace figspoke::policy
