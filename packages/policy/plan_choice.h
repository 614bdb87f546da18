#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/config.h"
#include "core/error.h"
#include "policy/quality_estimate.h"

namespace figspoke::policy {

/// How a plan is chosen. All but `least_cost` are baselines for comparison.
enum class plan_policy { least_cost, always_best, always_cheapest, fixed_cascade };

/// Why a candidate was rejected. `chosen` marks the chosen plan and, before the choice, every eligible one.
enum class rejection_reason {
    chosen,
    not_requested,
    not_allowed,
    withdrawn,
    retiring,
    no_upstream,
    other_version,
    below_quality,
    too_slow,
    dearer,
    not_pinned,
    not_in_policy,
};

/// Why a plan was chosen.
enum class plan_reason { cheapest_at_target, best_below_target, pinned, exploration, baseline };

/// Capacity of a version as known to this node.
struct version_capacity {
    int usable_upstreams = 0;
    /// Expected queueing time until a slot is free.
    std::chrono::milliseconds wait{0};
};

/// The request for which a plan is made.
struct plan_request {
    std::string account;
    std::string task;
    /// Model or version that the caller asked for; empty accepts any.
    std::string model;
    /// Selects the roll-out version: the id of the conversation, or of the request where there is none.
    std::string rollout_key;
    /// Version that the conversation is pinned to.
    std::optional<std::string> pinned_version;
    double quality_target = 0.8;
    std::int64_t prompt_tokens = 0;
    std::int64_t answer_tokens = 0;
    /// Time left for the whole answer; empty means unlimited.
    std::optional<std::chrono::milliseconds> deadline;
    /// Whether the plan may be a cascade: false for a stream, whose first tokens can't be checked before they
    /// are sent.
    bool may_cascade = true;
    /// Whether the request may explore.
    bool may_explore = true;
};

struct plan_settings {
    plan_policy policy = plan_policy::least_cost;
    quality_settings quality;
    /// Probability that a request explores: it runs on an unrated or drifting version instead of the chosen
    /// one. Without `average_gain` it is also the largest share of requests that explore.
    double exploration = 0.02;
    /// Mean expected gain of exploration per request. Where it is set, the probability is scaled by the
    /// request's own gain relative to it, up to `max_exploration_boost` times; 0 turns the scaling off.
    double average_gain = 0;
    double max_exploration_boost = 4;
    /// A version with fewer decayed ratings of a task kind counts as unrated.
    double min_ratings = 50;
};

/// Uniform random numbers in [0, 1) for one choice.
struct plan_draws {
    /// Decides whether the request explores.
    double explore = 1;
    /// Decides which version it explores.
    double pick = 0;
};

/// A plan that was considered, its estimates and why it was rejected.
struct plan_candidate {
    std::string version;
    /// Second version of a cascade; empty for a direct plan.
    std::string escalate_to;
    rejection_reason reason = rejection_reason::chosen;
    quality_estimate quality;
    /// Expected cost in millionths of the currency unit.
    double cost = 0;
    /// Expected duration of the whole plan; of both steps for a cascade.
    std::chrono::milliseconds latency{0};
};

/// The chosen plan and what the decision log records about it.
struct plan_decision {
    plan_policy policy = plan_policy::least_cost;
    plan_reason reason = plan_reason::cheapest_at_target;
    std::string version;
    std::string escalate_to;
    quality_estimate quality;
    double quality_target = 0;
    double cost = 0;
    std::chrono::milliseconds latency{0};
    /// Expected gain from exploring for this request, in millionths of the currency unit.
    double exploration_gain = 0;
    std::uint64_t table_revision = 0;
    /// All plans considered, the chosen one included.
    std::vector<plan_candidate> candidates;
};

/// State from which a plan is chosen.
struct plan_inputs {
    const core::config_snapshot& config;
    const quality_evidence& evidence;
    /// Capacity by version id; a version that is absent has no upstream.
    const std::map<std::string, version_capacity>& capacity;
    core::steady_time now;
};

/// Chooses the plan for a request. Fails with `version_withdrawn` (pinned version), `not_allowed`,
/// `not_found`, `no_capacity` or `deadline_unreachable`.
core::result<plan_decision> choose_plan(const plan_inputs& inputs, const plan_settings& settings,
                                        const plan_request& request, const plan_draws& draws);

/// Names of the enumerators in the decision log and the settings.
std::string_view to_string(plan_policy value);
std::string_view to_string(rejection_reason value);
std::string_view to_string(plan_reason value);
std::optional<plan_policy> parse_plan_policy(std::string_view name);

} // namespace figspoke::policy
