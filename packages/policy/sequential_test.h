#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/time.h"
#include "policy/version_evidence.h"

namespace figspoke::policy {

struct sequential_settings {
    /// Log likelihood ratio at which a version is stopped. At 10, 6 of 200 good versions were stopped within
    /// 2,000 requests, at 11 3 of 900.
    double threshold = 11;
    /// By how much the bad hypothesis worsens each rate of the stable version.
    double worse_failures = 0.25;
    double worse_flags = 0.35;
    double worse_ratings = 0.4;
    /// Half-life of the stable version's recent rates. An outage that hits all versions must not count
    /// against the new one.
    std::chrono::seconds recent{60};
};

/// One rate of the stable version as decayed counts: hits and trials.
struct rate_counts {
    double hits = 0;
    double trials = 0;
};

/// The rates that are compared.
struct outcome_rates {
    rate_counts failures;
    rate_counts flags;
    rate_counts failed_ratings;
};

/// Log likelihood ratios of bad against good, never below 0: one test of failures and one of answers, from
/// checks and ratings.
struct version_ratios {
    double failures = 0;
    double answers = 0;
};

/// State of the tests at one node. It is derived from the evidence and not exchanged.
struct sequential_state {
    /// Sums at the last step.
    std::map<evidence_key, outcome_counts> seen;
    /// Recent rates of each version and task kind.
    std::map<evidence_key, outcome_rates> recent;
    std::map<std::string, version_ratios> ratios;
    core::steady_time stepped_at;
};

/// A version to be stopped: the change of its table row and the reason.
struct version_stop {
    std::string version;
    std::string stable;
    /// Columns of the version's row to be written.
    std::map<std::string, std::string> columns;
    std::string reason;
    double ratio = 0;
};

/// Takes the evidence since the last step into account and returns the versions to be stopped: those that
/// are rolled out beside a stable version of their model and are worse by the sequential test.
std::vector<version_stop> step_sequential_test(sequential_state& state, const sequential_settings& settings,
                                               const core::config_snapshot& config,
                                               const version_evidence& evidence, core::steady_time now);

} // namespace figspoke::policy
