#pragma once

#include <deque>

#include "core/time.h"

namespace figspoke::policy {

/// Bounds on the sends beyond the first of each request to one service, summed over all nodes.
struct repeat_budget_settings {
    /// Repeats per request within the window.
    double ratio = 0.1;
    /// Repeats that are allowed beyond the ratio.
    double slack = 10;
    core::milliseconds window{10000};
    /// Part of the fleet's bound that is handed out, so that nodes which judge the window differently stay
    /// below it together.
    double used_share = 0.7;
    std::size_t max_events = 20000;
    /// Part of a node's bound that repeats by choice may fill.
    double choice_share = 0.9;
};

/// What one node counted for one service in the window.
struct repeat_budget {
    std::deque<core::steady_time> requests;
    std::deque<core::steady_time> repeats;
};

/// Counts a caller's request.
void count_request(repeat_budget& budget, const repeat_budget_settings& settings, core::steady_time now);

/// Tells whether a repeat that isn't owed, such as an answer of a larger model, may be taken: a part of the
/// bound is left for requests that fail.
bool may_repeat_by_choice(const repeat_budget& budget, const repeat_budget_settings& settings,
                          std::size_t nodes, core::steady_time now);

/// Takes one repeat where this node's part of the bound allows it: the ratio of its own requests and an equal
/// part of the slack.
bool take_repeat(repeat_budget& budget, const repeat_budget_settings& settings, std::size_t nodes,
                 core::steady_time now);

} // namespace figspoke::policy
