#include "policy/repeat_budget.h"

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

// Returns the number of repeats that a node may make within the window: the ratio of its own requests and an
// equal share of the slack.
double node_bound(const repeat_budget_settings& settings, std::size_t requests, std::size_t nodes) {
    const double slack = settings.slack / double(std::max<std::size_t>(nodes, 1));
    return settings.safety_factor * (settings.ratio * double(requests) + slack);
}

// Counts the events within the window. They are sorted by time.
std::size_t count_recent(const std::deque<core::steady_time>& events, const repeat_budget_settings& settings,
                         core::steady_time now) {
    const auto first = std::partition_point(events.begin(), events.end(),
                                            [&](core::steady_time at) { return now - at > settings.window; });
    return std::size_t(events.end() - first);
}

} // namespace

bool may_repeat_optionally(const repeat_budget& budget, const repeat_budget_settings& settings,
                           std::size_t nodes, core::steady_time now) {
    const auto bound = node_bound(settings, count_recent(budget.requests, settings, now), nodes);
    const auto used = double(count_recent(budget.repeats, settings, now));
    return used + 1 <= settings.optional_share * bound;
}

bool may_repeat(const repeat_budget& budget, const repeat_budget_settings& settings, std::size_t nodes,
                core::steady_time now) {
    return double(count_recent(budget.repeats, settings, now)) + 1 <=
           node_bound(settings, count_recent(budget.requests, settings, now), nodes);
}

void count_request(repeat_budget& budget, const repeat_budget_settings& settings, core::steady_time now) {
    budget.requests.push_back(now);
    expire(budget.requests, settings, now);
}

bool take_repeat(repeat_budget& budget, const repeat_budget_settings& settings, std::size_t nodes,
                 core::steady_time now) {
    expire(budget.requests, settings, now);
    expire(budget.repeats, settings, now);
    if (double(budget.repeats.size()) + 1 > node_bound(settings, budget.requests.size(), nodes)) {
        return false;
    }
    budget.repeats.push_back(now);
    return true;
}

} // namespace figspoke::policy
