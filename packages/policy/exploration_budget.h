#pragma once

namespace figspoke::policy {

/// Bounds exploration to a share of a node's requests. Requests for which exploration is worthwhile are the
/// smaller part, so each of them may explore with a larger chance than the share.
struct exploration_budget {
    /// Largest share of all requests that explore.
    double share = 0.02;
    /// Chance that a request explores where that is worthwhile and the budget allows it.
    double chance = 0.05;
    /// Explorations that may be saved up.
    double max_saved = 10;
    double saved = 0;
    /// Moving average of the requests' expected gains, for `plan_settings::typical_gain`.
    double typical_gain = 0;
};

/// Returns the value for `plan_settings::exploration` of the next request.
double exploration_chance(const exploration_budget& budget);

/// Records that a plan was chosen, whether it explored, and its `plan_decision::exploration_gain`.
void record_plan(exploration_budget& budget, bool explored, double gain);

} // namespace figspoke::policy
