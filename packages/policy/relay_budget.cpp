#include "policy/relay_budget.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

void expire(std::deque<core::steady_time>& events, const repeat_budget_settings& settings,
            core::steady_time now) {
    while (!events.empty() &&
           (now - events.front() > settings.window || events.size() > settings.max_events)) {
        events.pop_front();
    }
}

} // namespace

void count_request(repeat_budget& budget, const repeat_budget_settings& settings, core::steady_time now) {
    budget.requests.push_back(now);
    expire(budget.requests, settings, now);
}

bool take_repeat(repeat_budget& budget, const repeat_budget_settings& settings, std::size_t nodes,
                 core::steady_time now) {
    expire(budget.requests, settings, now);
    expire(budget.repeats, settings, now);
    const double own_part = settings.ratio * double(budget.requests.size()) +
                            settings.slack / double(std::max<std::size_t>(nodes, 1));
    if (double(budget.repeats.size()) + 1 > own_part * settings.used_share) {
        return false;
    }
    budget.repeats.push_back(now);
    return true;
}

} // namespace figspoke::policy
