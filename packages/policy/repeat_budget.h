#pragma once

#include <deque>

#include "core/time.h"

namespace figspoke::policy {

/// Bounds on repeats, summed over all nodes. A repeat is any send of a request after its first one: a retry,
/// the continuation of a stream on another upstream, or an escalation to a larger model.
struct repeat_budget_settings {
    /// Repeats per request of the service within the window.
    double ratio = 0.1;
    /// Number of repeats in the window that are allowed in addition to the ratio.
    double slack = 10;
    core::milliseconds window{10000};
    /// Fraction of the bound that the nodes use together. The rest covers differences between their windows.
    double safety_factor = 0.7;
    std::size_t max_events = 20000;
    /// Fraction of a node's bound that optional repeats may use.
    double optional_share = 0.9;
};

/// Requests and repeats of one service in the window, as one node counts them.
struct repeat_budget {
    std::deque<core::steady_time> requests;
    std::deque<core::steady_time> repeats;
};

/// Counts a caller's request.
void count_request(repeat_budget& budget, const repeat_budget_settings& settings, core::steady_time now);

/// Returns whether the bound allows an optional repeat, such as an escalation to a larger model. A part of
/// the bound is reserved for requests that fail.
bool may_repeat_optionally(const repeat_budget& budget, const repeat_budget_settings& settings,
                           std::size_t nodes, core::steady_time now);

/// Returns whether this node's bound allows a repeat now.
bool may_repeat(const repeat_budget& budget, const repeat_budget_settings& settings, std::size_t nodes,
                core::steady_time now);

/// Counts a repeat, unless it would exceed this node's bound: the ratio of its own requests and an equal
/// share of the slack. Returns whether the repeat is allowed.
bool take_repeat(repeat_budget& budget, const repeat_budget_settings& settings, std::size_t nodes,
                 core::steady_time now);

} // namespace figspoke::policy
