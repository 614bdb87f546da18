#pragma once

namespace figspoke::policy {

/// Token bucket that limits exploration to a share of a node's requests. Exploration is worthwhile for the
/// smaller part of the requests only, so each of those may explore with a higher probability than the share.
struct exploration_budget {
    /// Largest share of all requests that explore.
    double share = 0.02;
    /// Probability that a request explores where that is worthwhile and the budget allows it.
    double probability = 0.05;
    /// Largest balance, in explorations.
    double max_balance = 10;
    /// Explorations that the budget allows now.
    double balance = 0;
    /// Exponential moving average of the requests' expected gains, for `plan_settings::average_gain`.
    double average_gain = 0;
};

/// Returns the probability of exploration for the next request, for `plan_settings::exploration`.
double exploration_probability(const exploration_budget& budget);

/// Records a chosen plan: whether it explored, and its `plan_decision::exploration_gain`.
void record_plan(exploration_budget& budget, bool explored, double gain);

} // namespace figspoke::policy
