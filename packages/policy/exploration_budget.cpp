#include "policy/exploration_budget.h"

#include <algorithm>

namespace figspoke::policy {

double exploration_probability(const exploration_budget& budget) {
    return budget.balance >= 1 ? budget.probability : 0;
}

void record_plan(exploration_budget& budget, bool explored, double gain) {
    // Averages over about 200 requests, which smooths out single long prompts.
    budget.average_gain += 0.005 * (gain - budget.average_gain);
    budget.balance = std::min(budget.max_balance, budget.balance + budget.share) - (explored ? 1 : 0);
}

} // namespace figspoke::policy
