#pragma once

#include <cstdint>
#include <optional>

#include "policy/plan_choice.h"

namespace figspoke::trials {

struct cost_settings {
    std::uint64_t seed = 1;
    int requests = 60000;
    /// Requests a second of the whole fleet.
    double rate = 10;
    int nodes = 7;
    double rating_sample = 0.1;
    double mean_rating_lag_s = 40;
    double gossip_s = 5;
    policy::plan_settings plan;
    policy::quality_evidence_settings evidence;
    /// Uses the true rates at each moment in place of the estimates: the limit.
    bool knows_rates = false;
};

struct cost_result {
    /// Mean cost of an answer in millionths of the currency unit.
    double cost = 0;
    /// Share of answers that pass and are in time.
    double quality = 0;
    /// Least of (quality - target) over the two quality targets of the trace.
    double margin = 0;
    /// The same for the worst task kind and target.
    double task_margin = 0;
    double late = 0;
    double explored = 0;
    double escalated = 0;
};

/// Runs the plan choice of several nodes over one trace.
cost_result run_cost_trial(const cost_settings& settings);

} // namespace figspoke::trials
