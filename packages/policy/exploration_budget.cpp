#include "policy/exploration_budget.h"

#include <algorithm>

namespace figspoke::policy {

double exploration_chance(const exploration_budget& budget) {
    return budget.saved >= 1 ? budget.chance : 0;
}

void record_plan(exploration_budget& budget, bool explored, double gain) {
    // Averages over about 200 requests: enough to smooth single long prompts.
    budget.typical_gain += 0.005 * (gain - budget.typical_gain);
    budget.saved = std::min(budget.max_saved, budget.saved + budget.share) - (explored ? 1 : 0);
}

} // namespace figspoke::policy
